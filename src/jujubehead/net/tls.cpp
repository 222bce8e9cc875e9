#include "jujubehead/net/tls.hpp"

#include <utility> // for move

#include <openssl/ssl.h> // for SSL_CTX_set_min_proto_version

namespace jujubehead::net {
namespace {

namespace ssl = boost::asio::ssl;

void
Note(core::Findings& aFindings,
     const std::string& aFile,
     const boost::system::error_code& aError,
     std::string aExpected)
{
  if (aError) {
    aFindings.push_back(
      { { aFile, 0, 0 }, aError.message(), std::move(aExpected) });
  }
}

/// Reads all files, so that every fault is told at once.
core::Checked<TlsCredentials::Context>
Read(const TlsFiles& aFiles)
{
  auto context = std::make_shared<ssl::context>(ssl::context::tls);
  SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_2_VERSION);
  core::Findings findings;
  boost::system::error_code error;
  if (!aFiles.certificate.empty() || !aFiles.key.empty()) {
    context->use_certificate_chain_file(aFiles.certificate, error);
    Note(
      findings, aFiles.certificate, error, "a certificate chain in PEM form");
    context->use_private_key_file(aFiles.key, ssl::context::pem, error);
    Note(findings,
         aFiles.key,
         error,
         "the private key, in PEM form, of " + aFiles.certificate);
  }
  if (!aFiles.authority.empty()) {
    context->load_verify_file(aFiles.authority, error);
    Note(findings, aFiles.authority, error, "certificates in PEM form");
    context->set_verify_mode(ssl::verify_peer |
                             ssl::verify_fail_if_no_peer_cert);
  }
  if (!findings.empty()) {
    return findings;
  }
  return context;
}

} // namespace

TlsCredentials::TlsCredentials(TlsFiles aFiles, Context aContext)
  : m_files(std::move(aFiles))
  , m_context(std::move(aContext))
{
}

core::Checked<std::shared_ptr<TlsCredentials>>
TlsCredentials::Load(TlsFiles aFiles)
{
  auto context = Read(aFiles);
  if (!context) {
    return context.error();
  }
  return std::shared_ptr<TlsCredentials>(
    new TlsCredentials(std::move(aFiles), std::move(*context)));
}

core::Findings
TlsCredentials::Reload()
{
  auto context = Read(m_files);
  if (!context) {
    return context.error();
  }
  const std::scoped_lock lock(m_mutex);
  m_context = std::move(*context);
  return {};
}

TlsCredentials::Context
TlsCredentials::Current() const
{
  const std::scoped_lock lock(m_mutex);
  return m_context;
}

} // namespace jujubehead::net
