#include "standin/faces.hpp" // for MakeStoreFace

#include <chrono>   // for steady_clock, microseconds
#include <optional> // for optional

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

std::uint64_t
NowMicroseconds()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now().time_since_epoch())
      .count());
}

class StoreFace final : public Face
{
public:
  explicit StoreFace(StoreOptions aOptions)
    : m_model(aOptions)
  {
  }

  [[nodiscard]] json Stats() const override { return m_model.Stats(); }

private:
  asio::awaitable<void> Handle(net::HttpExchange& aExchange) override
  {
    const net::HttpRequest& request = aExchange.Request();
    const auto parts = PathParts(request);
    if (request.Path() == "/v1/load") {
      co_await Reply(aExchange, 200, m_model.Load(NowMs()));
    } else if (request.Path() == "/v1/events") {
      const auto after = std::stoull(request.Query("after").value_or("0"));
      co_await Reply(aExchange, 200, m_model.Events(after, NowMs()));
    } else if (parts.size() >= 4 && parts[1] == "kv") {
      co_await HandlePiece(aExchange, parts);
    } else {
      co_await ReplyError(aExchange, 404, "unknown_path");
    }
  }

  asio::awaitable<void> HandlePiece(net::HttpExchange& aExchange,
                                    const std::vector<std::string>& aParts)
  {
    const PieceId id{ aParts[2], aParts[3] };
    const std::string& method = aExchange.Request().method;
    const std::string action = aParts.size() > 4 ? aParts[4] : std::string();
    if (method == "POST" && action == "begin") {
      co_await Begin(aExchange, id);
    } else if (method == "POST" && action == "commit") {
      co_await Commit(aExchange, id);
    } else if (method == "GET") {
      co_await Get(aExchange, id);
    } else if (method == "DELETE") {
      m_model.Remove(id, NowMs());
      co_await Reply(aExchange, 200, json::object());
    } else {
      co_await ReplyError(aExchange, 405, "unknown_method");
    }
  }

  asio::awaitable<void> Begin(net::HttpExchange& aExchange, const PieceId& aId)
  {
    const json body = json::parse(aExchange.Request().body);
    StoredPiece piece;
    body.at("keys").get_to(piece.keys);
    body.at("bytes").get_to(piece.bytes);
    body.at("salt").get_to(piece.salt);
    if (m_model.Begin(aId, std::move(piece))) {
      co_await Reply(aExchange, 200, json::object());
    } else {
      co_await ReplyError(aExchange, 507, "full");
    }
  }

  // The bytes of an export cross the link before its commit is answered.
  asio::awaitable<void> Commit(net::HttpExchange& aExchange, const PieceId& aId)
  {
    if (m_model.Find(aId) != nullptr) {
      co_await CrossLink(aId, std::nullopt);
    }
    if (Fault("down") != nullptr) {
      aExchange.Close();
    } else if (m_model.Commit(aId, NowMs())) {
      co_await Reply(aExchange, 200, json::object());
    } else {
      co_await ReplyError(aExchange, 404, "absent");
    }
  }

  asio::awaitable<void> Get(net::HttpExchange& aExchange, const PieceId& aId)
  {
    const StoredPiece* before = m_model.Find(aId);
    if (before == nullptr || !before->committed) {
      co_await ReplyError(
        aExchange, 404, before == nullptr ? "absent" : "uncommitted");
      co_return;
    }
    const auto blocks = aExchange.Request().Query("blocks");
    co_await CrossLink(
      aId, blocks ? std::optional(std::stoull(*blocks)) : std::nullopt);
    // It may have gone while its bytes were on the way.
    const StoredPiece* piece = m_model.Find(aId);
    if (Fault("down") != nullptr) {
      aExchange.Close();
    } else if (piece == nullptr || !piece->committed) {
      co_await ReplyError(aExchange, 404, "absent");
    } else {
      const json body{ { "keys", piece->keys },
                       { "bytes", piece->bytes },
                       { "salt", piece->salt } };
      co_await Reply(aExchange, 200, body);
    }
  }

  asio::awaitable<void> CrossLink(const PieceId& aId,
                                  std::optional<std::size_t> aBlocks)
  {
    const std::uint64_t wait =
      m_model.BookLink(aId, aBlocks, NowMicroseconds());
    co_await Wait(std::chrono::microseconds(wait));
  }

  void OnFaultsChanged() override { m_model.SetFull(Fault("full") != nullptr); }

  void LoseState() override { m_model.Clear(NowMs()); }

  StoreModel m_model;
};

} // namespace

std::shared_ptr<Face>
MakeStoreFace(StoreOptions aOptions)
{
  return std::make_shared<StoreFace>(aOptions);
}

} // namespace jujubehead::standin
