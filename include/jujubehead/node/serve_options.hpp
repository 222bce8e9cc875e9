#ifndef JUJUBEHEAD_NODE_SERVE_OPTIONS_HPP
#define JUJUBEHEAD_NODE_SERVE_OPTIONS_HPP

#include <cstdint> // for uint16_t, uint32_t
#include <memory>  // for shared_ptr
#include <string>  // for string

#include "jujubehead/core/ids.hpp"               // for InstanceId, DataCentreId
#include "jujubehead/core/overload/capacity.hpp" // for MachineLimits
#include "jujubehead/net/tls.hpp"                // for TlsCredentials

namespace jujubehead::node {

/// Upper bound of the machine's memory, in bytes, where no setting gives it.
inline constexpr std::size_t kDefaultServeMemory = 1024UL * 1024 * 1024;

/// @brief The settings of one instance, checked before it starts.
struct ServeOptions
{
  core::InstanceId instance_id;
  core::DataCentreId data_centre;
  std::string listen_address = "127.0.0.1"; ///< Callers and operators.
  std::uint16_t listen_port = 0;            ///< 0: the system picks one.
  std::string peer_address = "127.0.0.1";   ///< Other instances.
  std::uint16_t peer_port = 0;              ///< 0: the system picks one.
  std::string members;       ///< `address:port` of the membership list.
  std::string table_service; ///< `address:port`.
  std::string object_store;  ///< `address:port`.
  std::string peer_secret;   ///< Shared by all instances.
  std::uint32_t traffic_threads = 1;
  std::string ready_file; ///< Written once the listeners are bound; may be
                          ///< empty. JSON: `{"listen_port":N,"peer_port":N}`.
  std::string log_config; ///< A log4cxx configuration file; may be empty.
  /// What the machine grants to this instance.
  core::MachineLimits machine{ kDefaultServeMemory, 1024 };
  std::string operator_key; ///< Bearer key of operators' calls; may be empty.
  /// TLS with callers and operators; null: plain.
  std::shared_ptr<net::TlsCredentials> caller_tls = nullptr;
  /// TLS between instances, both ends showing a certificate; null: plain.
  std::shared_ptr<net::TlsCredentials> peer_tls = nullptr;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_SERVE_OPTIONS_HPP
