//! Mutual TLS: only processes with keys of the same authority speak with each other.

use {
    rcgen::{
        BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose as Usage, IsCa, Issuer,
        KeyPair,
    },
    rstest::rstest,
    settings::TlsFiles,
    std::{fs, path::Path},
    wire::{Dialer, Identity, Listener, Peer, Traffic, TrafficClass},
};

/// An authority and the folder in which its keys are.
struct Authority<'a> {
    dir: &'a Path,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority<'_> {
    fn new(dir: &Path) -> Authority<'_> {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let cert = params.self_signed(&key).unwrap();
        fs::write(dir.join("ca.pem"), cert.pem()).unwrap();
        Authority { dir, issuer: Issuer::new(params, key) }
    }

    fn issue(&self, part: &str, name: &str, usages: &[Usage]) -> TlsFiles {
        let mut params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        params.extended_key_usages = usages.to_vec();
        let key = KeyPair::generate().unwrap();
        let cert = params.signed_by(&key, &self.issuer).unwrap();
        let file = |end: &str| self.dir.join(format!("{part}{end}"));
        fs::write(file(".pem"), cert.pem()).unwrap();
        fs::write(file("-key.pem"), key.serialize_pem()).unwrap();
        TlsFiles { ca: self.dir.join("ca.pem"), cert: file(".pem"), key: file("-key.pem") }
    }
}

/// Serves one word on every stream and returns what a peer with `files` receives.
async fn exchange(server: &TlsFiles, client: Option<&TlsFiles>) -> Result<String, String> {
    let any = "127.0.0.1:0".parse().unwrap();
    let identity = Some(Identity::open(server).unwrap());
    let mut listener = Listener::bind(any, identity, Traffic::default()).await.unwrap();
    let addr = listener.addr();
    tokio::spawn(async move {
        while let Some(incoming) = listener.accept().await {
            let mut send = incoming.stream.send;
            send.send(&"word").await.unwrap();
            send.finish();
        }
    });
    let identity = client.map(|it| Identity::open(it).unwrap());
    let peer = Peer::new(
        addr,
        Dialer { identity, traffic: Traffic::default(), class: TrafficClass::Control },
    );
    let mut stream = peer.open("/word").await.map_err(|it| it.to_string())?;
    let word = stream.recv.recv::<String>().await.map_err(|it| it.to_string())?;
    word.ok_or_else(|| "no word".to_owned())
}

#[rstest]
#[case::same_authority(true, "jasminefront", true, true)]
#[case::other_authority(false, "jasminefront", true, false)]
#[case::no_client_usage(true, "jasminefront", false, false)]
#[tokio::test]
async fn only_keys_of_the_same_authority_are_let_in(
    #[case] same: bool,
    #[case] name: &str,
    #[case] may_call: bool,
    #[case] let_in: bool,
) {
    let (ours, theirs) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let (authority, other) = (Authority::new(ours.path()), Authority::new(theirs.path()));
    let both = [Usage::ServerAuth, Usage::ClientAuth];
    let server = authority.issue("server", "jasminefront", &both);
    let usages = if may_call { &both[..] } else { &both[..1] };
    let signer = if same { &authority } else { &other };
    // A stranger trusts our authority, so that it is our end which must refuse.
    let client = TlsFiles { ca: server.ca.clone(), ..signer.issue("client", name, usages) };
    let word = exchange(&server, Some(&client)).await;
    assert_eq!(word.is_ok(), let_in, "{word:?}");
}

#[tokio::test]
async fn a_process_without_keys_is_not_let_in() {
    let dir = tempfile::tempdir().unwrap();
    let both = [Usage::ServerAuth, Usage::ClientAuth];
    let server = Authority::new(dir.path()).issue("server", "jasminefront", &both);
    assert!(exchange(&server, None).await.is_err());
}

#[tokio::test]
async fn a_server_under_another_name_is_not_trusted() {
    let dir = tempfile::tempdir().unwrap();
    let both = [Usage::ServerAuth, Usage::ClientAuth];
    let authority = Authority::new(dir.path());
    let server = authority.issue("server", "localhost", &both);
    let client = authority.issue("client", "jasminefront", &both);
    assert!(exchange(&server, Some(&client)).await.is_err());
}
