//! Malformed and malicious messages neither cause a panic nor unbounded memory.

mod common;

use common::info;
use pimento_core::Time;
use pimento_members::{
    Body, Config, EncodedInfo, EncodedService, Heartbeat, Hello, Hint, Leave, Members, Message,
    Summary, VmIncarnation, VmInfo,
};
use prost::Message as _;

fn member() -> Members {
    Members::new(Config::new(info(0, 0, 0), Vec::new()), Time::ZERO, 1)
}

/// Checks the limits on state and output, which no message may exceed.
fn check_limits(members: &mut Members) {
    for second in 1..4 {
        let effects = members.tick(Time::from_millis(second * 1_000));
        assert!(effects.len() <= 4_096);
    }
    assert!(members.peers().len() <= 512);
    assert!(members.domains().len() <= 512);
    for domain in members.domains() {
        assert!(domain.contacts.len() <= 8 && domain.services.len() <= 64);
    }
    for peer in members.peers() {
        assert!(peer.loads.len() <= 64);
    }
}

#[test]
fn any_bytes() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let mut members = member();
        if let Ok(message) = Message::decode(bytes) {
            members.receive(Time::from_millis(5), message);
        }
        check_limits(&mut members);
    });
}

type Values = (u64, u32, u32, u64, Vec<u32>);

/// The hash that identifies a VM in its heartbeats.
fn incarnation_hash(name: u8, incarnation: u64) -> u32 {
    let info = info((name % 3).into(), (name / 3).into(), 0);
    VmInfo {
        incarnation,
        ..info
    }
    .incarnation_hash()
}

/// Builds a well-formed message with arbitrary values.
fn arbitrary(
    kind: u8,
    name: u8,
    (incarnation, interval, layout_hash, version, values): Values,
) -> Message {
    let vm = format!("d{}-vm{}", name % 3, name / 3);
    let domain = format!("d{}", name % 3);
    let link = vec![10, 0, 0, name, 1, 1];
    let service = |n: &u32| EncodedService {
        name: format!("s{n}"),
        slots: *n,
        cold: layout_hash,
    };
    let sender = VmIncarnation {
        vm: vm.clone(),
        incarnation,
    };
    let summary = Summary {
        domain: domain.clone(),
        layout_hash,
        load_values: values.clone(),
        min_version: version,
        version_spread: incarnation,
        age_ms: interval,
        services: values.iter().map(service).collect(),
        ..Summary::default()
    };
    let hint = Hint {
        vm: vm.clone(),
        domain: domain.clone(),
        link: link.clone(),
    };
    let body = match kind % 4 {
        0 => Body::Heartbeat(Heartbeat {
            vm,
            incarnation,
            interval_ms: interval,
            version,
            layout_hash,
            services: values.iter().map(service).collect(),
            load_values: values,
            suspects: vec![sender.clone(); 3],
            confirmed_alive: vec![sender],
            summaries: vec![summary],
            link,
            view_digest: layout_hash,
            incarnation_hash: incarnation_hash(name, incarnation),
        }),
        1 => Body::Hello(Hello {
            info: Some(EncodedInfo {
                vm,
                domain,
                region: "r0".into(),
                incarnation,
                link,
                ..EncodedInfo::default()
            }),
            wants_reply: true,
            skip_summaries: false,
            version,
            hints: vec![hint; 100],
            summaries: vec![summary],
        }),
        2 => Body::Leave(Leave {
            vm,
            incarnation,
            relay: incarnation % 2 == 0,
        }),
        _ => Body::Summary(Summary {
            hint: Some(hint),
            ..summary
        }),
    };
    Message { body: Some(body) }
}

#[test]
fn arbitrary_messages() {
    let input = bolero::check!().with_type::<Vec<(u8, u8, Values)>>();
    input.cloned().for_each(|messages| {
        let mut members = member();
        for (i, (kind, name, values)) in messages.into_iter().enumerate() {
            let now = Time::from_millis(i as u64 * 100);
            members.receive(now, arbitrary(kind, name, values));
        }
        check_limits(&mut members);
    });
}

#[test]
fn flood_of_names() {
    let mut members = member();
    for n in 0..2_000_u32 {
        let [.., a, b] = n.to_be_bytes();
        let info = EncodedInfo {
            vm: format!("vm{n}"),
            region: "r0".into(),
            domain: if n % 2 == 0 {
                "d0".into()
            } else {
                format!("x{n}")
            },
            incarnation: 1,
            link: vec![10, 1, a, b, 1, 1],
            ..EncodedInfo::default()
        };
        let hello = Hello {
            info: Some(info),
            wants_reply: true,
            ..Hello::default()
        };
        let body = Some(Body::Hello(hello));
        members.receive(Time::from_millis(1), Message { body });
    }
    check_limits(&mut members);
}
