#include "instance_reports.hpp"

#include <chrono>    // for seconds
#include <exception> // for exception_ptr, rethrow_exception
#include <utility>   // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn

#include "jujubehead/net/http_client.hpp"   // for HttpClient, HttpCall
#include "jujubehead/net/member_list.hpp"   // for MemberList
#include "jujubehead/net/run_awaitable.hpp" // for RunAwaitable

namespace jujubehead::app {
namespace {

using boost::asio::awaitable;

constexpr core::Duration kTimeout = std::chrono::seconds(3);
constexpr unsigned kOk = 200;

awaitable<InstanceReport>
ReadInstance(net::HttpClient& aClient,
             std::string aAddress,
             const InstancesOptions& aOptions)
{
  net::HttpCall call;
  call.authority = aAddress;
  call.target = "/status";
  call.idle_timeout = kTimeout;
  call.tls = aOptions.tls;
  if (!aOptions.operator_key.empty()) {
    call.headers.Add("Authorization", "Bearer " + aOptions.operator_key);
  }
  std::string why;
  try {
    const net::HttpResponse response = co_await aClient.Fetch(std::move(call));
    auto status = node::InstanceStatusFromJson(response.body);
    if (response.status == kOk && status) {
      co_return InstanceReport{ std::move(aAddress), std::move(*status) };
    }
    why = response.status == kOk
            ? "its status is not understood"
            : "it answered " + std::to_string(response.status);
  } catch (const net::HttpCallError& error) {
    why = error.what();
  }
  co_return InstanceReport{ std::move(aAddress), NoReport{ std::move(why) } };
}

} // namespace

std::vector<std::string>
FindInstances(const InstancesOptions& aOptions, Platform& aPlatform)
{
  if (!aOptions.addresses.empty() || aOptions.members.empty()) {
    return aOptions.addresses;
  }
  const auto list =
    net::MemberList::Create(aPlatform.Client(), aOptions.members);
  const net::Members members =
    net::RunAwaitable(aPlatform.Context(), list->Read());
  std::vector<std::string> addresses;
  for (const net::Member& member : members.members) {
    if (member.kind == net::MemberKind::kInstance) {
      addresses.push_back(member.address);
    }
  }
  return addresses;
}

std::vector<InstanceReport>
ReadInstances(const std::vector<std::string>& aAddresses,
              const InstancesOptions& aOptions,
              Platform& aPlatform)
{
  std::vector<InstanceReport> reports(aAddresses.size());
  std::size_t left = aAddresses.size();
  for (std::size_t i = 0; i < aAddresses.size(); ++i) {
    boost::asio::co_spawn(
      aPlatform.Context(),
      ReadInstance(aPlatform.Client(), aAddresses[i], aOptions),
      [&reports, &left, i](const std::exception_ptr& aError,
                           InstanceReport aReport) {
        --left;
        if (aError) {
          std::rethrow_exception(aError);
        }
        reports[i] = std::move(aReport);
      });
  }
  aPlatform.Context().restart();
  while (left != 0 && aPlatform.Context().run_one() != 0) {
  }
  return reports;
}

} // namespace jujubehead::app
