#include "standin/engine_transfer.hpp"

#include <chrono>    // for seconds
#include <exception> // for exception
#include <utility>   // for move

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::chrono::seconds kPatience{ 600 };
constexpr unsigned kStoreFailed = 502;

std::string
PiecePath(const std::string& aHandle, const std::string& aGeneration)
{
  return "/v1/kv/" + aHandle + '/' + aGeneration;
}

net::HttpCall
CallOf(const ImportOrder& aOrder)
{
  net::HttpCall call;
  call.authority = aOrder.store;
  call.target = PiecePath(aOrder.handle, aOrder.generation);
  call.idle_timeout = kPatience;
  if (aOrder.blocks != 0) {
    call.target += "?blocks=" + std::to_string(aOrder.blocks);
  }
  return call;
}

} // namespace

asio::awaitable<FetchedPiece>
FetchPiece(net::HttpClient& aClient, ImportOrder aOrder)
{
  FetchedPiece piece;
  try {
    const net::HttpResponse response = co_await aClient.Fetch(CallOf(aOrder));
    if (response.status != 200) {
      co_return piece;
    }
    const json body = json::parse(response.body);
    body.at("salt").get_to(piece.salt);
    body.at("keys").get_to(piece.keys);
  } catch (const std::exception&) {
    piece.keys.clear(); // Without the store all is computed again.
  }
  if (aOrder.blocks != 0 && piece.keys.size() > aOrder.blocks) {
    piece.keys.resize(aOrder.blocks);
  }
  co_return piece;
}

asio::awaitable<unsigned>
SendPiece(net::HttpClient& aClient, const json& aOrder, const json& aPiece)
{
  try {
    const std::string path =
      PiecePath(TextOf(aOrder.at("handle")), TextOf(aOrder.at("generation")));
    net::HttpCall call;
    call.method = "POST";
    call.authority = aOrder.at("store").get<std::string>();
    call.idle_timeout = kPatience;
    call.target = path + "/begin";
    call.body = aPiece.dump();
    const net::HttpResponse begun = co_await aClient.Fetch(call);
    if (begun.status != 200) {
      co_return begun.status;
    }
    call.target = path + "/commit";
    call.body = "{}";
    co_return (co_await aClient.Fetch(std::move(call))).status;
  } catch (const std::exception&) {
    co_return kStoreFailed;
  }
}

} // namespace jujubehead::standin
