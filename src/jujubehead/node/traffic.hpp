#ifndef JUJUBEHEAD_NODE_TRAFFIC_HPP
#define JUJUBEHEAD_NODE_TRAFFIC_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint16_t
#include <memory>  // for unique_ptr

#include "jujubehead/node/serve_options.hpp" // for ServeOptions

namespace jujubehead::node {

class Control;

/// @brief The threads that take callers, each with a listener of its own on
/// the same port.
class Traffic
{
public:
  /// @param aControl outlives this.
  /// @throws boost::system::system_error when the address cannot be bound.
  static std::unique_ptr<Traffic> Create(const ServeOptions& aOptions,
                                         Control& aControl);
  virtual ~Traffic() = default;

  [[nodiscard]] virtual std::uint16_t Port() const = 0;
  /// @brief Starts the threads.
  virtual void Start() = 0;
  /// @brief Takes no new connections; open requests go on.
  virtual void StopAccepting() = 0;
  /// @brief Ends the threads; requests still open are cut off.
  virtual void Stop() = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_TRAFFIC_HPP
