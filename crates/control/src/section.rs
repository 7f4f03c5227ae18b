//! The section that follows the frozen encoding of the replicated state in a snapshot.
//!
//! 0d4d3b9 ignores bytes after the state. Everything that later builds added to the state is therefore encoded after it,
//! as parts with a number each. A reader skips the parts that it does not know, and uses defaults for missing ones.

use {
    crate::evacuation_state::EvacuationState,
    bincode::{
        config::{Configuration, Limit, LittleEndian, Varint, standard},
        error::{DecodeError, EncodeError},
        serde::{decode_from_slice, encode_to_vec},
    },
    derive_more::Debug,
    serde::{Deserialize, Serialize},
};

/// The limit on what a decoder of commands, their output and snapshots counts, in bytes. Without one, `bincode` allocates
/// whatever length a string claims to have, which aborts the process. It counts a number with its size in memory, up to 8
/// bytes for an encoded one. An operator's document has at most
/// 16 MiB, and the state contains few of them.
const MAX_COUNTED_BYTES: usize = 1 << 30;

/// The configuration for decoding commands, their output and snapshots.
pub(crate) fn limited() -> Configuration<LittleEndian, Varint, Limit<MAX_COUNTED_BYTES>> {
    standard().with_limit::<MAX_COUNTED_BYTES>()
}

/// What later builds than 0d4d3b9 added to the replicated state.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub(crate) struct Section {
    /// A number that all members of the group had as their protocol; 0 if none is recorded.
    pub(crate) protocol: u32,
    pub(crate) evacuations: EvacuationState,
}

/// The numbers of the parts. They are never used again for another content.
const PROTOCOL_PART: u32 = 1;
const EVACUATIONS_PART: u32 = 2;

#[derive(Serialize, Deserialize)]
struct Part {
    number: u32,
    content: Vec<u8>,
}

impl Section {
    /// Encodes the parts that differ from the default. An unused section has no bytes, as a snapshot of 0d4d3b9.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let mut bytes = Vec::new();
        if self.protocol != 0 {
            bytes.extend(encode_part(PROTOCOL_PART, &self.protocol)?);
        }
        if self.evacuations != EvacuationState::default() {
            bytes.extend(encode_part(EVACUATIONS_PART, &self.evacuations)?);
        }
        Ok(bytes)
    }

    /// Decodes the bytes after the frozen encoding.
    pub(crate) fn decode(mut bytes: &[u8]) -> Result<Section, DecodeError> {
        let mut section = Section::default();
        while !bytes.is_empty() {
            let (part, consumed): (Part, _) = decode_from_slice(bytes, limited())?;
            bytes = &bytes[consumed..];
            match part.number {
                PROTOCOL_PART => section.protocol = decode_from_slice(&part.content, limited())?.0,
                EVACUATIONS_PART => {
                    section.evacuations = decode_from_slice(&part.content, limited())?.0;
                }
                _ => {}
            }
        }
        Ok(section)
    }
}

fn encode_part<T>(number: u32, value: &T) -> Result<Vec<u8>, EncodeError>
where
    T: Serialize,
{
    encode_to_vec(Part { number, content: encode_to_vec(value, standard())? }, standard())
}
