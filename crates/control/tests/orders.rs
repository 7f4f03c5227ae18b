//! Tests that a replica orders endpoints over HTTP to load and unload images.

mod common;

use {
    common::TestReplica,
    edge::{Body, Server, ServerLimits, full, read_all},
    http::{Method, Request, Response},
    hyper::body::Incoming,
    parking_lot::Mutex,
    serde_json::{Value, json},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::sync::watch,
    tower::service_fn,
};

/// An endpoint that loads images immediately and ignores fencing tokens.
struct FakeEndpoint {
    images: Mutex<Vec<Value>>,
    orders: Mutex<Vec<Value>>,
    changed: watch::Sender<usize>,
}

impl FakeEndpoint {
    async fn bind() -> (Arc<FakeEndpoint>, Server) {
        let (images, orders) = Default::default();
        let fake = Arc::new(FakeEndpoint { images, orders, changed: watch::Sender::new(0) });
        let handler_state = fake.clone();
        let service = service_fn(move |request| serve(handler_state.clone(), request));
        let any_port = "127.0.0.1:0".parse().unwrap();
        (fake, Server::bind(any_port, ServerLimits::default(), service).await.unwrap())
    }

    fn apply_order(&self, request: Value) {
        let mut image = request["order"].clone();
        let kind = image.as_object_mut().unwrap().remove("kind").unwrap();
        let mut images = self.images.lock();
        match kind.as_str() {
            Some("load") => images.push(image),
            Some("unload") => images.retain(|it| *it != image),
            other => panic!("unknown order {other:?}"),
        }
        self.orders.lock().push(request);
        self.changed.send_modify(|it| *it += 1);
    }

    /// Waits until the endpoint has only the image of this version.
    async fn wait_for_version(&self, version: &str) {
        let expected = json!([{ "model": "draft", "adapter": "", "version": version }]);
        let mut changed = self.changed.subscribe();
        changed.wait_for(|_| json!(*self.images.lock()) == expected).await.unwrap();
    }
}

async fn serve(
    fake: Arc<FakeEndpoint>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    if request.method() == Method::POST {
        let body = read_all(request.into_body(), 1 << 20, Duration::from_secs(5)).await.unwrap();
        fake.apply_order(serde_json::from_slice(&body).unwrap());
        return Ok(Response::new(full("{}")));
    }
    let mut images = fake.images.lock().clone();
    images.iter_mut().for_each(|it| it["state"] = "ready".into());
    Ok(Response::new(full(json!({ "role": "both", "images": images }).to_string())))
}

fn intent(servers: &[&Server], version: &str) -> String {
    let endpoint = |(at, it): (usize, &&Server)| {
        format!(
            "[[endpoint]]\nname = \"draftmodel-{at}\"\nservice = \"draftmodel\"\naddr = \"{}\"\n\
             domain = \"prg-a\"\nfencing = \"ignored\"\n\
             images = [{{ model = \"draft\", version = \"{version}\" }}]\n",
            it.addr()
        )
    };
    let service = "[[service]]\nname = \"draftmodel\"\nkind = \"model\"\n\
                   bound-permille = 1250\nminimum = 1\nclaim-ms = 60000\n";
    let endpoints: String = servers.iter().enumerate().map(endpoint).collect();
    format!("{service}{endpoints}")
}

#[tokio::test]
async fn endpoints_load_and_unload_images_to_match_the_intent() {
    let replica = TestReplica::start().await;
    let ((first_fake, first), (second_fake, second)) =
        (FakeEndpoint::bind().await, FakeEndpoint::bind().await);
    replica.apply_intent("first", &intent(&[&first, &second], "1")).await;
    first_fake.wait_for_version("1").await;
    second_fake.wait_for_version("1").await;
    replica.apply_intent("second", &intent(&[&first, &second], "2")).await;
    first_fake.wait_for_version("2").await;
    second_fake.wait_for_version("2").await;
    let orders = first_fake.orders.lock().clone();
    let kinds: Vec<_> = orders.iter().map(|it| it["order"]["kind"].as_str().unwrap()).collect();
    assert_eq!(kinds, ["load", "load", "unload"]);
    let revisions: Vec<_> = orders.iter().map(|it| it["fence"]["revision"].as_u64()).collect();
    assert_eq!(revisions, [Some(1), Some(2), Some(2)]);
    replica.control.shutdown().await;
}
