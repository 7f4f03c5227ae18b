//! One real replica orders endpoints over HTTP.

mod common;

use {
    common::Bench,
    edge::{Body, Server, ServerLimits, full, read_all},
    http::{Method, Request, Response},
    hyper::body::Incoming,
    parking_lot::Mutex,
    serde_json::{Value, json},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::sync::watch,
    tower::service_fn,
};

/// An endpoint that loads at once and ignores fencing numbers.
struct Engine {
    images: Mutex<Vec<Value>>,
    orders: Mutex<Vec<Value>>,
    changed: watch::Sender<usize>,
}

impl Engine {
    async fn bind() -> (Arc<Engine>, Server) {
        let (images, orders) = Default::default();
        let engine = Arc::new(Engine { images, orders, changed: watch::Sender::new(0) });
        let own = engine.clone();
        let service = service_fn(move |request| answer(own.clone(), request));
        let any = "127.0.0.1:0".parse().unwrap();
        (engine, Server::bind(any, ServerLimits::default(), service).await.unwrap())
    }

    fn order(&self, request: Value) {
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

    /// Returns once the engine carries just this version.
    async fn carries(&self, version: &str) {
        let only = json!([{ "model": "draft", "adapter": "", "version": version }]);
        let mut changed = self.changed.subscribe();
        changed.wait_for(|_| json!(*self.images.lock()) == only).await.unwrap();
    }
}

async fn answer(
    engine: Arc<Engine>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    if request.method() == Method::POST {
        let body = read_all(request.into_body(), 1 << 20, Duration::from_secs(5)).await.unwrap();
        engine.order(serde_json::from_slice(&body).unwrap());
        return Ok(Response::new(full("{}")));
    }
    let mut images = engine.images.lock().clone();
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
async fn endpoints_come_to_carry_what_is_intended() {
    let bench = Bench::open().await;
    let ((one, first), (two, second)) = (Engine::bind().await, Engine::bind().await);
    bench.bring("first", &intent(&[&first, &second], "1")).await;
    one.carries("1").await;
    two.carries("1").await;
    bench.bring("second", &intent(&[&first, &second], "2")).await;
    one.carries("2").await;
    two.carries("2").await;
    let orders = one.orders.lock().clone();
    let kinds: Vec<_> = orders.iter().map(|it| it["order"]["kind"].as_str().unwrap()).collect();
    assert_eq!(kinds, ["load", "load", "unload"]);
    let revisions: Vec<_> = orders.iter().map(|it| it["fence"]["revision"].as_u64()).collect();
    assert_eq!(revisions, [Some(1), Some(2), Some(2)]);
    bench.control.shutdown().await;
}
