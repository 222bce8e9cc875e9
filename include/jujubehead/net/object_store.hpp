#ifndef JUJUBEHEAD_NET_OBJECT_STORE_HPP
#define JUJUBEHEAD_NET_OBJECT_STORE_HPP

#include <cstdint>   // for uint8_t
#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <stdexcept> // for runtime_error
#include <string>    // for string

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::net {

class HttpClient;

/// @brief A call to the object store failed; a write may have taken effect.
class ObjectStoreError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// @brief What PutIfAbsent() found.
enum class PutOutcome : std::uint8_t
{
  kWritten,
  kPresent, ///< An object of that key was there already.
};

/// @brief The platform's object store, one bucket of it.
class ObjectStore
{
public:
  /// @param aClient outlives this.
  static std::unique_ptr<ObjectStore> Create(
    HttpClient& aClient,
    std::string aAuthority,
    std::string aBucket = "jujubehead",
    core::Duration aTimeout = std::chrono::seconds(5));
  virtual ~ObjectStore() = default;

  /// @return the object's bytes, or nothing. @throws ObjectStoreError.
  virtual boost::asio::awaitable<std::optional<std::string>> Get(
    std::string aKey) = 0;
  /// @brief Writes or replaces an object. @throws ObjectStoreError.
  virtual boost::asio::awaitable<void> Put(std::string aKey,
                                           std::string aBytes) = 0;
  /// @brief Writes an object unless there is one. @throws ObjectStoreError.
  virtual boost::asio::awaitable<PutOutcome> PutIfAbsent(
    std::string aKey,
    std::string aBytes) = 0;
  /// @brief Deletes an object, if there is one. @throws ObjectStoreError.
  virtual boost::asio::awaitable<void> Delete(std::string aKey) = 0;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_OBJECT_STORE_HPP
