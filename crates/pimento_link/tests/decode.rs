//! Decoding arbitrary bytes does not panic.

use pimento_link::Envelope;
use prost::Message as _;

#[test]
fn any_bytes() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            if let Ok(envelope) = Envelope::decode(bytes.as_slice()) {
                assert!(envelope.payload.len() <= bytes.len());
            }
        });
}
