//! What endpoints and gateways say about cold endpoints.

mod common;

use {
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    common::{Behavior, Endpoint, Fixture, layout},
    dispatch::{ColdReport, LimitReport},
    rstest::rstest,
};

/// A service without a cold rate is served as before, whatever its endpoints say.
#[rstest]
#[case::cold("endpoint-cold-ms: 60000")]
#[case::huge("endpoint-cold-ms: 99999999999999999999")]
#[case::negative("endpoint-cold-ms: -1")]
#[case::not_a_number("endpoint-cold-ms: soon")]
#[tokio::test]
async fn endpoint_of_a_service_without_a_cold_rate_is_never_cold(#[case] line: &'static str) {
    let behavior = Behavior::WithHeader(line, Box::new(Behavior::Respond));
    let endpoint = Endpoint::start(vec![behavior; 30]).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    for _ in 0..30 {
        assert_eq!(fixture.client().call("/read/").await.status, 200);
    }
}

/// Gateways of other builds read these messages.
#[test]
fn messages_keep_their_encoding() {
    let limit = LimitReport { incarnation: 1, rate: Some(0.0), age_ms: 2, hops: 3 };
    let encoded = encode_to_vec(vec![limit], standard()).unwrap();
    assert_eq!(encoded, [1, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 2, 3]);
    let cold = ColdReport { incarnation: 1, remaining_ms: 2, hops: 3 };
    let mut encoded = encode_to_vec(vec![cold], standard()).unwrap();
    assert_eq!(encoded, [1, 1, 2, 3]);
    // A later build may append fields.
    encoded.extend([7, 7, 7]);
    let (decoded, _) = decode_from_slice::<Vec<ColdReport>, _>(&encoded, standard()).unwrap();
    assert_eq!(decoded, [cold]);
}
