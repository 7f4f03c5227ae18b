//! The list of endpoints as read over HTTP.

use {
    bytes::Bytes,
    directory::Directory,
    edge::{HttpDirectory, Server, ServerLimits, full},
    http::Response,
    std::convert::Infallible,
    tower::service_fn,
};

/// A malformed remaining time must not hide the endpoint, and a missing one does not say that it is warm.
#[tokio::test]
async fn cold_endpoints_are_read_beside_the_list() {
    let entry = |id: &str, cold: &str| {
        format!(
            r#"{{"id":"{id}","service":"s","addr":"127.0.0.1:1","domain":"d","slots":1,"draining":false,"born":null,"build":null{cold}}}"#
        )
    };
    let list = [
        entry("a", r#","cold_remaining_ms":1500"#),
        entry("b", r#","cold_remaining_ms":0"#),
        entry("c", ""),
        entry("d", r#","cold_remaining_ms":"long""#),
        entry("e", r#","cold_remaining_ms":99999999999"#),
    ];
    let body = Bytes::from(format!("[{}]", list.join(",")));
    let service = service_fn(move |_| {
        let body = body.clone();
        async move { Ok::<_, Infallible>(Response::new(full(body))) }
    });
    let addr = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(addr, ServerLimits::default(), service).await.unwrap();
    let listing = HttpDirectory::new(server.addr()).list().await.unwrap();
    assert_eq!(listing.endpoints.len(), 5);
    let expected = [("a".into(), 1_500), ("b".into(), 0), ("e".into(), u32::MAX)];
    assert_eq!(listing.cold, expected);
}
