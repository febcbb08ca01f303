//! Mutual authentication with the shared key at the start of a connection.

use crate::envelope;
use anyhow::{Context, bail};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use pimento_core::VmId;
use prost::Message;
use sha2::Sha256;
use std::{fmt, time::Duration};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The size of a random nonce.
const NONCE_BYTES: usize = 32;

/// A framed connection, which both ends have authenticated after the handshake.
pub(crate) type Stream = Framed<TcpStream, LengthDelimitedCodec>;

/// The secret that all processes of the system share for authentication.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Wraps the content of a secret file.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    fn mac(&self, role: &[u8], transcript: &Transcript<'_>) -> Hmac<Sha256> {
        let mut mac = Hmac::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(role);
        mac.update(transcript.challenge);
        mac.update(transcript.nonce);
        mac.update(transcript.vm.as_bytes());
        mac
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The data that a proof covers, besides the role of its sender.
struct Transcript<'a> {
    challenge: &'a [u8],
    nonce: &'a [u8],
    vm: &'a str,
}

/// The first frame, which the acceptor sends.
#[derive(Clone, PartialEq, prost::Message)]
struct Challenge {
    #[prost(bytes = "vec", tag = "1")]
    nonce: Vec<u8>,
}

/// Proves that its sender has the shared key; both ends send one.
#[derive(Clone, PartialEq, prost::Message)]
struct Proof {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(bytes = "vec", tag = "2")]
    nonce: Vec<u8>,
    #[prost(bytes = "vec", tag = "3")]
    mac: Vec<u8>,
}

/// Authenticates to the process that was dialed, then authenticates that process.
pub(crate) async fn dial(
    tcp: TcpStream,
    own_vm: &VmId,
    key: &Key,
) -> anyhow::Result<(Stream, VmId)> {
    with_timeout(async {
        let mut stream = frame_handshake(tcp)?;
        let challenge: Challenge = read(&mut stream).await?;
        let nonce = rand::random::<[u8; NONCE_BYTES]>().to_vec();
        let transcript = Transcript {
            challenge: &challenge.nonce,
            nonce: &nonce,
            vm: own_vm,
        };
        let mac = key
            .mac(b"dial", &transcript)
            .finalize()
            .into_bytes()
            .to_vec();
        let proof = Proof {
            vm: own_vm.to_string(),
            nonce: nonce.clone(),
            mac,
        };
        write(&mut stream, &proof).await?;
        let reply: Proof = read(&mut stream).await?;
        let transcript = Transcript {
            challenge: &challenge.nonce,
            nonce: &nonce,
            vm: &reply.vm,
        };
        key.mac(b"accept", &transcript)
            .verify_slice(&reply.mac)
            .context("the peer did not prove the shared key")?;
        let vm = VmId::new(&reply.vm)?;
        Ok((stream.map_codec(|_| envelope::codec()), vm))
    })
    .await
}

/// Authenticates the process that dialed, then authenticates to that process.
pub(crate) async fn accept(
    tcp: TcpStream,
    own_vm: &VmId,
    key: &Key,
) -> anyhow::Result<(Stream, VmId)> {
    with_timeout(async {
        let mut stream = frame_handshake(tcp)?;
        let challenge = Challenge {
            nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec(),
        };
        write(&mut stream, &challenge).await?;
        let proof: Proof = read(&mut stream).await?;
        if proof.nonce.len() != NONCE_BYTES {
            bail!("the peer sent a malformed nonce");
        }
        let transcript = Transcript {
            challenge: &challenge.nonce,
            nonce: &proof.nonce,
            vm: &proof.vm,
        };
        key.mac(b"dial", &transcript)
            .verify_slice(&proof.mac)
            .context("the peer did not prove the shared key")?;
        let vm = VmId::new(&proof.vm)?;
        let transcript = Transcript {
            challenge: &challenge.nonce,
            nonce: &proof.nonce,
            vm: own_vm,
        };
        let mac = key
            .mac(b"accept", &transcript)
            .finalize()
            .into_bytes()
            .to_vec();
        let reply = Proof {
            vm: own_vm.to_string(),
            nonce: Vec::new(),
            mac,
        };
        write(&mut stream, &reply).await?;
        Ok((stream.map_codec(|_| envelope::codec()), vm))
    })
    .await
}

async fn with_timeout<T>(handshake: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .context("the handshake timed out")?
}

fn frame_handshake(tcp: TcpStream) -> anyhow::Result<Stream> {
    tcp.set_nodelay(true)?;
    Ok(Framed::new(tcp, envelope::handshake_codec()))
}

async fn read<M: Message + Default>(stream: &mut Stream) -> anyhow::Result<M> {
    let frame = stream
        .next()
        .await
        .context("the peer closed the connection")??;
    Ok(M::decode(frame)?)
}

async fn write(stream: &mut Stream, message: &impl Message) -> anyhow::Result<()> {
    let frame = Bytes::from(message.encode_to_vec());
    stream.send(frame).await?;
    Ok(())
}
