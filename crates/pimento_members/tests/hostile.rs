//! Any message is survived, with bounded memory.

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

/// Bounds that no messages may break.
fn check(members: &mut Members) {
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
        check(&mut members);
    });
}

type Numbers = (u64, u32, u32, u64, Vec<u32>);

/// The hash that stands for a VM in its heartbeats.
fn run_of(name: u8, incarnation: u64) -> u32 {
    let info = info((name % 3).into(), (name / 3).into(), 0);
    VmInfo {
        incarnation,
        ..info
    }
    .incarnation_hash()
}

/// A message that is well formed, but odd.
fn odd(
    kind: u8,
    name: u8,
    (incarnation, interval, layout_hash, version, numbers): Numbers,
) -> Message {
    let vm = format!("d{}-vm{}", name % 3, name / 3);
    let domain = format!("d{}", name % 3);
    let link = vec![10, 0, 0, name, 1, 1];
    let service = |n: &u32| EncodedService {
        name: format!("s{n}"),
        slots: *n,
        cold: layout_hash,
    };
    let run = VmIncarnation {
        vm: vm.clone(),
        incarnation,
    };
    let summary = Summary {
        domain: domain.clone(),
        layout_hash,
        load_values: numbers.clone(),
        min_version: version,
        version_spread: incarnation,
        age_ms: interval,
        services: numbers.iter().map(service).collect(),
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
            services: numbers.iter().map(service).collect(),
            load_values: numbers,
            suspects: vec![run.clone(); 3],
            confirmed_alive: vec![run],
            summaries: vec![summary],
            link,
            view_digest: layout_hash,
            incarnation_hash: run_of(name, incarnation),
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
fn odd_messages() {
    let input = bolero::check!().with_type::<Vec<(u8, u8, Numbers)>>();
    input.cloned().for_each(|messages| {
        let mut members = member();
        for (i, (kind, name, numbers)) in messages.into_iter().enumerate() {
            let now = Time::from_millis(i as u64 * 100);
            members.receive(now, odd(kind, name, numbers));
        }
        check(&mut members);
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
    check(&mut members);
}
