#ifndef JUJUBEHEAD_STANDIN_STAND_IN_HPP
#define JUJUBEHEAD_STANDIN_STAND_IN_HPP

#include <cstdint>    // for uint16_t
#include <functional> // for function
#include <memory>     // for shared_ptr
#include <string>     // for string

#include <boost/asio/io_context.hpp> // for io_context
#include <nlohmann/json.hpp>         // for json

#include "jujubehead/net/http_message.hpp" // for HttpRequest

#include "standin/engine_model.hpp" // for EngineOptions
#include "standin/store_model.hpp"  // for StoreOptions
#include "standin/table_model.hpp"  // for TableOptions

namespace jujubehead::standin {

class Face;

/// @brief Where a stand-in listens; port 0: the system picks one.
struct ListenOptions
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
};

/// @brief How a plain service behaves.
struct ServiceOptions
{
  std::string service = "sync";
  std::string id = "service-1";
  std::int64_t work_ms = 0; ///< Time that each call takes.
};

/// @brief How a target of the operators' platform behaves.
struct RegisteredOptions
{
  std::string id = "t1";
  std::string model;            ///< Empty: a plain service.
  std::uint64_t version = 1;    ///< Of its weights.
  std::string software_version; ///< Part of each event, unless empty.
  std::uint64_t events = 8;     ///< Of each stream.
  std::int64_t work_ms = 0;     ///< Time of a call, or between events.
  /// Called for each request that arrives, whether it is run or refused.
  std::function<void(const net::HttpRequest&)> on_arrival;
};

/// @brief A stand-in that serves on an io_context until it is destroyed.
/// All calls on the io_context's thread, or while it does not run.
///
/// A crash (`crash_now`, `crash_on`) loses the state, cuts all connections and
/// leaves the stand-in down until ClearFaults(), which is its restart.
class StandIn
{
public:
  static StandIn Engine(boost::asio::io_context& aContext,
                        EngineOptions aOptions,
                        const ListenOptions& aListen = {});
  static StandIn Store(boost::asio::io_context& aContext,
                       StoreOptions aOptions,
                       const ListenOptions& aListen = {});
  static StandIn Table(boost::asio::io_context& aContext,
                       TableOptions aOptions,
                       const ListenOptions& aListen = {});
  static StandIn Objects(boost::asio::io_context& aContext,
                         const ListenOptions& aListen = {});
  /// @param aMembers a JSON array of members as the list shows them.
  static StandIn Members(boost::asio::io_context& aContext,
                         const nlohmann::json& aMembers,
                         const ListenOptions& aListen = {});
  static StandIn Service(boost::asio::io_context& aContext,
                         ServiceOptions aOptions,
                         const ListenOptions& aListen = {});
  /// @brief The operators' store of rows.
  static StandIn Rows(boost::asio::io_context& aContext,
                      const ListenOptions& aListen = {});
  /// @brief A target that registers itself in the store of rows.
  static StandIn Registered(boost::asio::io_context& aContext,
                            RegisteredOptions aOptions,
                            const ListenOptions& aListen = {});
  /// @brief A store of kept parts of prompts.
  static StandIn Parts(boost::asio::io_context& aContext,
                       const ListenOptions& aListen = {});

  StandIn(StandIn&&) = default;
  StandIn& operator=(StandIn&&) = delete;
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;
  ~StandIn();

  [[nodiscard]] std::uint16_t Port() const;
  [[nodiscard]] std::string Authority() const; ///< `address:port`.
  [[nodiscard]] nlohmann::json Stats() const;
  void SetFault(const std::string& aName,
                const nlohmann::json& aBody = nlohmann::json::object());
  void ClearFaults();
  /// @brief What a process does on a crash, after its state is lost.
  void SetOnCrash(std::function<void()> aOnCrash);

private:
  StandIn(boost::asio::io_context& aContext,
          std::shared_ptr<Face> aFace,
          const ListenOptions& aListen);

  std::shared_ptr<Face> m_face;
  std::string m_address;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_STAND_IN_HPP
