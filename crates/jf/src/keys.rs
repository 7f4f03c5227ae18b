//! Creates a development certificate authority and the certificates that it signs.

use {
    crate::failure::BadInput,
    eyre::{Result, WrapErr},
    rcgen::{
        BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer,
        KeyPair, KeyUsagePurpose,
    },
    std::{
        fs::{self, OpenOptions},
        io::Write,
        os::unix::fs::OpenOptionsExt,
        path::Path,
    },
};

/// The DNS name in the certificates of all internal processes.
const INNER_NAME: &str = "jasminefront";
const CALLER_NAMES: &[&str] = &["localhost", "127.0.0.1", "::1"];
const FILES: &[&str] =
    &["ca.pem", "ca-key.pem", "inner.pem", "inner-key.pem", "callers.pem", "callers-key.pem"];
const SECRET_MODE: u32 = 0o600;

pub(crate) fn run(dir: &Path) -> Result<()> {
    fs::create_dir_all(dir)
        .wrap_err_with(|| format!("keys: failed to create {}", dir.display()))?;
    if let Some(found) = FILES.iter().map(|it| dir.join(it)).find(|it| it.exists()) {
        let found = found.display();
        return Err(BadInput::new(format!(
            "DIR: expected a directory without keys, found {found}"
        ))
        .into());
    }
    let authority = create_authority(dir)?;
    let usages = [ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    issue(dir, "inner", &[INNER_NAME], &usages, &authority)?;
    // The client-facing certificate does not allow client authentication, so that its key cannot be
    // used to impersonate an internal process.
    issue(dir, "callers", CALLER_NAMES, &usages[..1], &authority)?;
    println!("wrote {} to {}", FILES.join(", "), dir.display());
    Ok(())
}

fn create_authority(dir: &Path) -> Result<Issuer<'static, KeyPair>> {
    let mut params = CertificateParams::new(Vec::new())
        .wrap_err("keys: failed to create the certificate authority")?;
    params.distinguished_name.push(DnType::CommonName, "jasminefront development authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
    let key =
        KeyPair::generate().wrap_err("keys: failed to generate the certificate authority's key")?;
    let cert = params
        .self_signed(&key)
        .wrap_err("keys: failed to sign the certificate authority's certificate")?;
    write(&dir.join("ca.pem"), &cert.pem())?;
    write(&dir.join("ca-key.pem"), &key.serialize_pem())?;
    Ok(Issuer::new(params, key))
}

fn issue(
    dir: &Path,
    part: &str,
    names: &[&str],
    usages: &[ExtendedKeyUsagePurpose],
    issuer: &Issuer<'_, KeyPair>,
) -> Result<()> {
    let names: Vec<String> = names.iter().map(|it| (*it).to_owned()).collect();
    let context = || format!("keys: failed to issue the {part} certificate");
    let mut params = CertificateParams::new(names).wrap_err_with(context)?;
    params.distinguished_name.push(DnType::CommonName, INNER_NAME);
    params.use_authority_key_identifier_extension = true;
    params.extended_key_usages = usages.to_vec();
    let key = KeyPair::generate().wrap_err_with(context)?;
    let cert = params.signed_by(&key, issuer).wrap_err_with(context)?;
    write(&dir.join(format!("{part}.pem")), &cert.pem())?;
    write(&dir.join(format!("{part}-key.pem")), &key.serialize_pem())
}

/// Writes a new file that only its owner can read.
fn write(file: &Path, text: &str) -> Result<()> {
    let context = || format!("keys: failed to write {}", file.display());
    let opened = OpenOptions::new().write(true).create_new(true).mode(SECRET_MODE).open(file);
    opened.wrap_err_with(context)?.write_all(text.as_bytes()).wrap_err_with(context)
}
