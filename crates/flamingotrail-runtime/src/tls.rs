//! Mutual TLS between processes: every process has a certificate of the same authority.

use std::path;
use std::sync;

use quinn::crypto::rustls as quinn_rustls;
use rustls_pki_types::pem::PemObject as _;

use crate::configs::daemon;

/// Name that every process's certificate carries; processes are met by IP number.
pub const SERVER_NAME: &str = "flamingotrail.internal";
/// Protocol name on links.
const ALPN: &[u8] = b"flamingotrail/1";

/// Keys that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file that is not PEM of the expected kind.
    #[error("{path} can't be used: {error}; make it with `flamingotrail keys`")]
    File {
        /// The file.
        path: String,
        /// Why.
        error: rustls_pki_types::pem::Error,
    },
    /// Keys that do not fit together.
    #[error("the keys do not fit together: {0}; make them with `flamingotrail keys`")]
    Keys(#[from] rustls::Error),
    /// An authority that can't verify.
    #[error("the authority can't be used: {0}; make it with `flamingotrail keys`")]
    Authority(#[from] rustls::server::VerifierBuilderError),
    /// A cipher suite that QUIC lacks.
    #[error("the keys have no cipher suite for links: {0}; make them with `flamingotrail keys`")]
    Cipher(#[from] quinn_rustls::NoInitialCipherSuite),
}

/// Settings of both ends of a link.
pub struct LinkConfigs {
    /// For accepting.
    pub server: quinn::ServerConfig,
    /// For connecting.
    pub client: quinn::ClientConfig,
}

fn file_error(path: &path::Path) -> impl Fn(rustls_pki_types::pem::Error) -> TlsError {
    let path = path.display().to_string();
    move |error| TlsError::File { path: path.clone(), error }
}

/// Reads the files and makes the settings of both ends.
///
/// # Errors
///
/// Files that are not PEM, or keys that do not fit together.
pub fn load_configs(files: &daemon::TlsFiles) -> Result<LinkConfigs, TlsError> {
    let chain: Vec<rustls_pki_types::CertificateDer<'static>> =
        rustls_pki_types::CertificateDer::pem_file_iter(&files.cert)
            .and_then(Iterator::collect)
            .map_err(file_error(&files.cert))?;
    let key = rustls_pki_types::PrivateKeyDer::from_pem_file(&files.key)
        .map_err(file_error(&files.key))?;
    let authority = rustls_pki_types::CertificateDer::from_pem_file(&files.authority)
        .map_err(file_error(&files.authority))?;
    let mut roots = rustls::RootCertStore::empty();
    roots.add(authority)?;
    let roots = sync::Arc::new(roots);
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());

    let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
        roots.clone(),
        provider.clone(),
    )
    .build()?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())?;
    server.alpn_protocols = vec![ALPN.to_vec()];

    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    client.alpn_protocols = vec![ALPN.to_vec()];

    let server = quinn_rustls::QuicServerConfig::try_from(server)?;
    let client = quinn_rustls::QuicClientConfig::try_from(client)?;
    Ok(LinkConfigs {
        server: quinn::ServerConfig::with_crypto(sync::Arc::new(server)),
        client: quinn::ClientConfig::new(sync::Arc::new(client)),
    })
}
