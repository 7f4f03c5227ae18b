//! A development authority, and the keys that it signs.

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

/// The name that the certificates of all inner processes carry.
const INNER_NAME: &str = "jasminefront";
const CALLER_NAMES: &[&str] = &["localhost", "127.0.0.1", "::1"];
const FILES: &[&str] =
    &["ca.pem", "ca-key.pem", "inner.pem", "inner-key.pem", "callers.pem", "callers-key.pem"];
const SECRET_MODE: u32 = 0o600;

pub(crate) fn run(dir: &Path) -> Result<()> {
    fs::create_dir_all(dir).wrap_err_with(|| format!("keys: create {}", dir.display()))?;
    if let Some(found) = FILES.iter().map(|it| dir.join(it)).find(|it| it.exists()) {
        let found = found.display();
        return Err(BadInput::new(format!("DIR: expected no keys yet, found {found}")).into());
    }
    let authority = authority(dir)?;
    let both = [ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    issue(dir, "inner", &[INNER_NAME], &both, &authority)?;
    // Whoever holds the key towards callers must not pass for one of the system's own processes.
    issue(dir, "callers", CALLER_NAMES, &both[..1], &authority)?;
    println!("wrote {} to {}", FILES.join(", "), dir.display());
    Ok(())
}

fn authority(dir: &Path) -> Result<Issuer<'static, KeyPair>> {
    let mut params = CertificateParams::new(Vec::new()).wrap_err("keys: authority")?;
    params.distinguished_name.push(DnType::CommonName, "jasminefront development authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
    let key = KeyPair::generate().wrap_err("keys: authority key")?;
    let cert = params.self_signed(&key).wrap_err("keys: sign authority")?;
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
    let step = || format!("keys: {part}");
    let mut params = CertificateParams::new(names).wrap_err_with(step)?;
    params.distinguished_name.push(DnType::CommonName, INNER_NAME);
    params.use_authority_key_identifier_extension = true;
    params.extended_key_usages = usages.to_vec();
    let key = KeyPair::generate().wrap_err_with(step)?;
    let cert = params.signed_by(&key, issuer).wrap_err_with(step)?;
    write(&dir.join(format!("{part}.pem")), &cert.pem())?;
    write(&dir.join(format!("{part}-key.pem")), &key.serialize_pem())
}

/// Writes a file that only its owner can read.
fn write(file: &Path, text: &str) -> Result<()> {
    let step = || format!("keys: write {}", file.display());
    let opened = OpenOptions::new().write(true).create_new(true).mode(SECRET_MODE).open(file);
    opened.wrap_err_with(step)?.write_all(text.as_bytes()).wrap_err_with(step)
}
