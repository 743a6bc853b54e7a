//! Commands `keys` and `digest`: certificates for links between instances, and digests of bearer
//! tokens.

use std::fs;
use std::io;
use std::io::BufRead as _;
use std::path;

use flamingotrail_core::digest;

use crate::client;
use crate::output;

/// Subject alternative name in the certificate of every instance.
const SERVER_NAME: &str = "flamingotrail.internal";

/// `keys`: generates an authority, unless `out` already has one, and a certificate for each name.
pub fn generate(out: &path::Path, names: &[String]) -> Result<output::Report, client::ClientError> {
    fs::create_dir_all(out).map_err(|error| file_error(out, error))?;
    let issuer = load_or_create_authority(out)?;
    let mut lines = vec![format!("authority: {}", out.join("authority.pem").display())];
    for name in names {
        let key = rcgen::KeyPair::generate()?;
        let mut params = rcgen::CertificateParams::new(vec![SERVER_NAME.to_owned()])?;
        params.distinguished_name.push(rcgen::DnType::CommonName, name.as_str());
        params.extended_key_usages = vec![
            rcgen::ExtendedKeyUsagePurpose::ServerAuth,
            rcgen::ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let cert = params.signed_by(&key, &issuer)?;
        write_file(&out.join(format!("{name}.pem")), &cert.pem(), false)?;
        write_file(&out.join(format!("{name}.key")), &key.serialize_pem(), true)?;
        lines.push(format!("{name}: {}", out.join(format!("{name}.pem")).display()));
    }
    Ok(output::Report::lines(true, lines))
}

fn load_or_create_authority(
    out: &path::Path,
) -> Result<rcgen::Issuer<'static, rcgen::KeyPair>, client::ClientError> {
    let (cert_path, key_path) = (out.join("authority.pem"), out.join("authority.key"));
    if cert_path.is_file() && key_path.is_file() {
        let read =
            |path: &path::Path| fs::read_to_string(path).map_err(|error| file_error(path, error));
        let key = rcgen::KeyPair::from_pem(&read(&key_path)?)?;
        return Ok(rcgen::Issuer::from_ca_cert_pem(&read(&cert_path)?, key)?);
    }
    let key = rcgen::KeyPair::generate()?;
    let mut params = rcgen::CertificateParams::new(Vec::new())?;
    params.distinguished_name.push(rcgen::DnType::CommonName, "flamingotrail authority");
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Constrained(0));
    params.key_usages = vec![rcgen::KeyUsagePurpose::KeyCertSign];
    let cert = params.self_signed(&key)?;
    write_file(&cert_path, &cert.pem(), false)?;
    write_file(&key_path, &key.serialize_pem(), true)?;
    Ok(rcgen::Issuer::new(params, key))
}

fn file_error(path: &path::Path, error: io::Error) -> client::ClientError {
    client::ClientError::File { path: path.display().to_string(), error }
}

/// Writes a file. A secret file is then made accessible to its owner only.
fn write_file(path: &path::Path, text: &str, is_secret: bool) -> Result<(), client::ClientError> {
    use std::os::unix::fs::PermissionsExt as _;
    fs::write(path, text).map_err(|error| file_error(path, error))?;
    if is_secret {
        const OWNER_ONLY: u32 = 0o600;
        let mode = fs::Permissions::from_mode(OWNER_ONLY);
        fs::set_permissions(path, mode).map_err(|error| file_error(path, error))?;
    }
    Ok(())
}

/// `digest`: prints the digest of a token.
pub fn token_digest(token: &str) -> output::Report {
    let mut token = token.to_owned();
    if token == "-" {
        token.clear();
        // If no line can be read, the token stays empty. Its digest grants no access in practice,
        // since no caller presents an empty token.
        let _ = io::stdin().lock().read_line(&mut token);
    }
    output::Report::lines(true, vec![digest::hash_token(token.trim()).to_string()])
}
