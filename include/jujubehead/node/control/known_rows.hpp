#ifndef JUJUBEHEAD_NODE_CONTROL_KNOWN_ROWS_HPP
#define JUJUBEHEAD_NODE_CONTROL_KNOWN_ROWS_HPP

#include <optional> // for optional
#include <string>   // for string

#include "jujubehead/net/http_message.hpp" // for HttpRequest, HttpResponse

namespace jujubehead::node {

/// @brief What an instance has read of the operators' store, for others that
/// start while the store is away.
class KnownRows
{
public:
  virtual ~KnownRows() = default;
  /// @return the answer to a read as far as this instance knows it, marked as
  /// such; nothing when it is another call, or nothing was read yet.
  [[nodiscard]] virtual std::optional<net::HttpResponse> Answer(
    const net::HttpRequest& aRequest) const = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_KNOWN_ROWS_HPP
