//! Mutual TLS between instances: the certificates of all instances are signed by one authority.

use std::path;
use std::sync;

use quinn::crypto::rustls as quinn_rustls;
use rustls_pki_types::pem::PemObject as _;

use crate::configs::daemon;

/// Server name in the certificate of every instance. Instances connect by IP address, so there is
/// no host name to verify.
pub const SERVER_NAME: &str = "flamingotrail.internal";
/// ALPN protocol name of the links between instances.
const ALPN: &[u8] = b"flamingotrail/1";

/// Reason why the TLS configuration of links can't be built.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file can't be read or is not PEM of the expected kind.
    #[error("can't load {path}: {error}; create it with `flamingotrail keys`")]
    File {
        /// The file.
        path: String,
        /// The cause.
        error: rustls_pki_types::pem::Error,
    },
    /// The certificate, private key or authority is invalid, or they don't match.
    #[error(
        "the certificate, key or authority is invalid: {0}; create them with `flamingotrail keys`"
    )]
    Keys(#[from] rustls::Error),
    /// The authority can't be used to verify client certificates.
    #[error("the authority can't verify clients: {0}; create it with `flamingotrail keys`")]
    Authority(#[from] rustls::server::VerifierBuilderError),
    /// The TLS configuration has no cipher suite that QUIC supports.
    #[error("there is no cipher suite for links: {0}; create the keys with `flamingotrail keys`")]
    Cipher(#[from] quinn_rustls::NoInitialCipherSuite),
}

/// QUIC configurations for both ends of a link.
pub struct LinkConfigs {
    /// Configuration for accepting links.
    pub server: quinn::ServerConfig,
    /// Configuration for connecting to peers.
    pub client: quinn::ClientConfig,
}

fn file_error(path: &path::Path) -> impl Fn(rustls_pki_types::pem::Error) -> TlsError {
    let path = path.display().to_string();
    move |error| TlsError::File { path: path.clone(), error }
}

/// Loads the certificate, key and authority files and builds the configurations of both ends.
///
/// # Errors
///
/// Returns an error if a file can't be read, or if the certificate, key or authority is invalid.
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
