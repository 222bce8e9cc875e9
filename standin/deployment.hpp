#ifndef JUJUBEHEAD_STANDIN_DEPLOYMENT_HPP
#define JUJUBEHEAD_STANDIN_DEPLOYMENT_HPP

#include <cstddef>    // for size_t
#include <functional> // for function
#include <memory>     // for unique_ptr
#include <string>     // for string
#include <vector>     // for vector

#include <nlohmann/json.hpp> // for json

#include "jujubehead/net/http_message.hpp" // for HttpResponse
#include "standin/engine_model.hpp"        // for EngineOptions

namespace jujubehead::standin {

/// @brief What to set up.
struct DeploymentOptions
{
  std::size_t instances = 2;
  std::size_t engines = 2;
  EngineOptions engine;
  std::string table; ///< The operators' table, as comma-separated values.
};

/// @brief Instances of the product and stand-ins of all that they use, in one
/// process: real sockets on loopback, real threads. For tests.
class Deployment
{
public:
  /// @brief Starts everything and waits until each instance serves.
  /// @throws std::runtime_error when that does not come about.
  static std::unique_ptr<Deployment> Start(const DeploymentOptions& aOptions);
  virtual ~Deployment() = default;

  /// @brief Calls an instance and waits for its whole reply.
  virtual net::HttpResponse Call(std::size_t aInstance,
                                 const std::string& aMethod,
                                 const std::string& aPath,
                                 const net::HttpHeaders& aHeaders,
                                 std::string aBody) = 0;
  /// @brief Calls several at once and waits for all replies.
  virtual std::vector<net::HttpResponse> CallMany(
    std::size_t aCount,
    const std::string& aPath,
    const net::HttpHeaders& aHeaders,
    const std::function<std::string(std::size_t)>& aBody) = 0;

  /// @brief Starts one more instance, which need not become ready.
  /// @return its number.
  virtual std::size_t AddInstance() = 0;

  /// @param aName `engine0`, `engine1`, ..., `table`, `members`, `objects`,
  /// `store`, `service`.
  virtual nlohmann::json Stats(const std::string& aName) = 0;
  virtual void SetFault(const std::string& aName,
                        const std::string& aFault,
                        const nlohmann::json& aBody) = 0;
  /// @brief Waits, with a bound of a minute, until a condition holds.
  /// @return whether it does.
  virtual bool Await(const std::function<bool()>& aCondition) = 0;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_DEPLOYMENT_HPP
