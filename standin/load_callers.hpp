#ifndef JUJUBEHEAD_STANDIN_LOAD_CALLERS_HPP
#define JUJUBEHEAD_STANDIN_LOAD_CALLERS_HPP

#include <cstdint> // for uint64_t
#include <iosfwd>  // for ostream
#include <memory>  // for unique_ptr
#include <random>  // for mt19937_64
#include <string>  // for string
#include <vector>  // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/net/http_client.hpp" // for HttpClient

namespace jujubehead::standin {

/// @brief Whom callers call, and how often.
struct LoadCallersOptions
{
  std::vector<std::string> instances; ///< `ip:port` each.
  double requests_per_second = 20;    ///< Without the poison request's.
  double poison_per_second = 0;       ///< Copies of the poison request.
  std::string poison;                 ///< Its body.
  bool changes_poison = false;        ///< Each copy has a body of its own.
  std::string id_prefix = "r";        ///< Of the ids of requests.
  std::uint64_t seed = 1;
};

/// @brief Callers that send requests to random instances and go on using their
/// open connections until those are closed.
///
/// Prompts go to `/chat/x`, calls that may be repeated to `/calls/x`, both at
/// host `a.example`; see EntryDeployment. A request that failed is not sent
/// again, but copies of the poison request go on as long as callers do.
class LoadCallers
{
public:
  /// @param aLog gets two lines for each request: Unix milliseconds, `sent`,
  /// kind, id, instance; and the same with `answered` and the status (0: none).
  LoadCallers(boost::asio::io_context& aContext,
              LoadCallersOptions aOptions,
              std::ostream& aLog);

  void Start();

private:
  enum class Kind : std::uint8_t
  {
    kPrompt,
    kCall,
    kPoison,
  };

  boost::asio::awaitable<void> SendAll(bool aIsPoison, double aPerSecond);
  boost::asio::awaitable<void> Send(Kind aKind,
                                    std::string aId,
                                    std::string aInstance);

  boost::asio::io_context& m_context;
  LoadCallersOptions m_options;
  std::ostream& m_log;
  std::unique_ptr<net::HttpClient> m_client;
  std::mt19937_64 m_random;
  std::uint64_t m_last_id = 0;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_LOAD_CALLERS_HPP
