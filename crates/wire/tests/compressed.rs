//! Compressed values from damaged or hostile senders.

use {
    proptest::{collection::vec, prelude::*},
    rstest::rstest,
    serde::{Serialize, de::DeserializeOwned},
    wire::Compressed,
};

/// The encoding of the length 2^60, as `bincode` has it.
const HUGE_LENGTH: [u8; 9] = [253, 0, 0, 0, 0, 0, 0, 0, 16];

type Value = (Vec<String>, Option<String>, Vec<u64>);

fn decode<T>(bytes: &[u8]) -> Option<T>
where
    T: DeserializeOwned,
{
    Compressed::compress(bytes).unwrap().decode().ok()
}

/// Guards against an allocation of the claimed length, which aborts the process.
#[rstest]
#[case::text(&[])]
#[case::text_in_list(&[1])]
#[case::optional_text(&[0, 1])]
#[case::numbers(&[0, 0])]
fn a_huge_length_is_an_error(#[case] start: &[u8]) {
    let bytes = [start, &HUGE_LENGTH].concat();
    assert_eq!(decode::<String>(&HUGE_LENGTH), None);
    assert_eq!(decode::<Value>(&bytes), None);
}

/// Guards against a limit that refuses valid values: `bincode` counts a number with the size that it has in memory.
#[test]
fn a_long_valid_value_is_decoded() {
    fn check<T>(value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq,
    {
        assert!(Compressed::encode(&value).unwrap().decode().as_ref() == Ok(&value));
    }
    check(vec![1_u64; 9 << 20]);
    check("a".repeat(60 << 20));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Guards against panics and aborts on random bytes with a huge length in their middle.
    #[test]
    fn arbitrary_bytes_never_abort(
        start in vec(0..4_u8, 0..12),
        rest in vec(any::<u8>(), 0..40),
        has_length in any::<bool>(),
    ) {
        let length = if has_length { &HUGE_LENGTH[..] } else { &[] };
        let bytes = [&start[..], length, &rest].concat();
        let _ = decode::<Value>(&bytes);
        let _ = decode::<String>(&bytes);
        let _ = Compressed::from_compressed(bytes).decode::<Value>();
    }
}
