#ifndef JUJUBEHEAD_NET_TLS_HPP
#define JUJUBEHEAD_NET_TLS_HPP

#include <memory> // for shared_ptr
#include <mutex>  // for mutex
#include <string> // for string

#include <boost/asio/ssl/context.hpp> // for ssl::context

#include "jujubehead/core/finding.hpp" // for Checked, Findings

namespace jujubehead::net {

/// @brief The PEM files of one end of TLS connections.
struct TlsFiles
{
  /// Own certificate, then those above it. With no key either: none is shown,
  /// as callers do.
  std::string certificate;
  std::string key; ///< Its private key.
  /// Certificates of those who may sign the other end's certificate. Empty:
  /// the other end shows none (callers). Else it must show one (instances).
  std::string authority;
};

/// @brief Own certificate and key, which can be replaced while connections are
/// open: new ones take the new files, open ones keep theirs. Safe from any
/// thread.
class TlsCredentials
{
public:
  using Context = std::shared_ptr<boost::asio::ssl::context>;

  /// @return the credentials, or what is wrong with each file.
  static core::Checked<std::shared_ptr<TlsCredentials>> Load(TlsFiles aFiles);

  /// @brief Reads the files again.
  /// @return what is wrong with them; then what was read before stays in use.
  core::Findings Reload();

  /// @return what a new connection uses, at either end.
  [[nodiscard]] Context Current() const;

private:
  TlsCredentials(TlsFiles aFiles, Context aContext);

  TlsFiles m_files;
  mutable std::mutex m_mutex;
  Context m_context;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_TLS_HPP
