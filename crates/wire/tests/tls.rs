//! Mutual TLS: processes accept each other only if the same authority signed both certificates.

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

/// A certificate authority and the folder that it writes files to.
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

    fn issue(&self, file_stem: &str, name: &str, usages: &[Usage]) -> TlsFiles {
        let mut params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        params.extended_key_usages = usages.to_vec();
        let key = KeyPair::generate().unwrap();
        let cert = params.signed_by(&key, &self.issuer).unwrap();
        let path = |suffix: &str| self.dir.join(format!("{file_stem}{suffix}"));
        fs::write(path(".pem"), cert.pem()).unwrap();
        fs::write(path("-key.pem"), key.serialize_pem()).unwrap();
        TlsFiles { ca: self.dir.join("ca.pem"), cert: path(".pem"), key: path("-key.pem") }
    }
}

/// Sends one string on a stream from a server to a client, and returns what the client receives.
/// Without `client`, the client does not use TLS.
async fn exchange(server: &TlsFiles, client: Option<&TlsFiles>) -> Result<String, String> {
    let loopback = "127.0.0.1:0".parse().unwrap();
    let identity = Some(Identity::open(server).unwrap());
    let mut listener = Listener::bind(loopback, identity, Traffic::default()).await.unwrap();
    let addr = listener.addr();
    tokio::spawn(async move {
        while let Some(incoming) = listener.accept().await {
            let mut send = incoming.stream.send;
            send.send(&"message").await.unwrap();
            send.finish();
        }
    });
    let identity = client.map(|it| Identity::open(it).unwrap());
    let peer = Peer::new(
        addr,
        Dialer { identity, traffic: Traffic::default(), class: TrafficClass::Control },
    );
    let mut stream = peer.open("/message").await.map_err(|it| it.to_string())?;
    let message = stream.recv.recv::<String>().await.map_err(|it| it.to_string())?;
    message.ok_or_else(|| "no message".to_owned())
}

#[rstest]
#[case::same_authority(true, "jasminefront", true, true)]
#[case::other_authority(false, "jasminefront", true, false)]
#[case::no_client_usage(true, "jasminefront", false, false)]
#[tokio::test]
async fn only_certificates_of_the_same_authority_are_accepted(
    #[case] same_authority: bool,
    #[case] name: &str,
    #[case] has_client_usage: bool,
    #[case] accepted: bool,
) {
    let (dir, other_dir) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let (authority, other) = (Authority::new(dir.path()), Authority::new(other_dir.path()));
    let both_usages = [Usage::ServerAuth, Usage::ClientAuth];
    let server = authority.issue("server", "jasminefront", &both_usages);
    let usages = if has_client_usage { &both_usages[..] } else { &both_usages[..1] };
    let signer = if same_authority { &authority } else { &other };
    // The client always trusts the authority of the server, so that only the server can reject the
    // connection.
    let client = TlsFiles { ca: server.ca.clone(), ..signer.issue("client", name, usages) };
    let message = exchange(&server, Some(&client)).await;
    assert_eq!(message.is_ok(), accepted, "{message:?}");
}

#[tokio::test]
async fn a_client_without_a_certificate_is_rejected() {
    let dir = tempfile::tempdir().unwrap();
    let both_usages = [Usage::ServerAuth, Usage::ClientAuth];
    let server = Authority::new(dir.path()).issue("server", "jasminefront", &both_usages);
    assert!(exchange(&server, None).await.is_err());
}

#[tokio::test]
async fn a_server_certificate_with_another_name_is_rejected() {
    let dir = tempfile::tempdir().unwrap();
    let both_usages = [Usage::ServerAuth, Usage::ClientAuth];
    let authority = Authority::new(dir.path());
    let server = authority.issue("server", "localhost", &both_usages);
    let client = authority.issue("client", "jasminefront", &both_usages);
    assert!(exchange(&server, Some(&client)).await.is_err());
}
