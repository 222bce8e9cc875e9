#include "client_connection.hpp"

#include <utility> // for move

#include <boost/asio/buffer.hpp> // for buffer

#include "jujubehead/net/reset_on_close.hpp" // for CloseWithReset

namespace jujubehead::net {
namespace {

/// Shorter than the time after which usual servers close.
constexpr core::Duration kRestLimit = std::chrono::seconds(15);
constexpr core::Duration kSweepEvery = std::chrono::seconds(5);
constexpr std::size_t kRestingPerAuthority = 64;

} // namespace

ClientConnection::ClientConnection(
  const boost::asio::any_io_executor& aExecutor,
  std::shared_ptr<boost::asio::ssl::context> aTls)
  : stream(aTls ? ByteStream(ByteStream::Plain(aExecutor), std::move(aTls))
                : ByteStream(ByteStream::Plain(aExecutor)))
  , deadline(aExecutor, [this] {
    timed_out = true;
    // What is still on its way must not arrive after the call was given up.
    CloseWithReset(stream.Socket());
  })
{
}

bool
ClientConnection::IsAtRest()
{
  char unasked = 0;
  boost::system::error_code error;
  stream.Socket().non_blocking(true, error);
  stream.Socket().receive(boost::asio::buffer(&unasked, 1),
                          boost::asio::socket_base::message_peek,
                          error);
  return error == boost::asio::error::would_block;
}

void
ClientConnection::Close()
{
  boost::system::error_code ignored;
  stream.Socket().close(ignored);
}

std::shared_ptr<ClientConnection>
ClientPool::Take(const std::string& aAuthority)
{
  const auto found = m_resting.find(aAuthority);
  if (found == m_resting.end()) {
    return nullptr;
  }
  auto& resting = found->second;
  const core::Instant oldest = core::RuntimeClock::now() - kRestLimit;
  while (!resting.empty()) {
    auto connection = std::move(resting.back());
    resting.pop_back();
    if (connection->resting_since >= oldest && connection->IsAtRest()) {
      return connection;
    }
  }
  m_resting.erase(found);
  return nullptr;
}

void
ClientPool::Put(const std::string& aAuthority,
                std::shared_ptr<ClientConnection> aConnection)
{
  const core::Instant now = core::RuntimeClock::now();
  Sweep(now);
  auto& resting = m_resting[aAuthority];
  if (resting.size() < kRestingPerAuthority) {
    aConnection->resting_since = now;
    resting.push_back(std::move(aConnection));
  }
}

void
ClientPool::Sweep(core::Instant aNow)
{
  if (aNow - m_swept < kSweepEvery) {
    return;
  }
  m_swept = aNow;
  for (auto entry = m_resting.begin(); entry != m_resting.end();) {
    std::erase_if(entry->second, [&](const auto& aConnection) {
      return aNow - aConnection->resting_since > kRestLimit ||
             !aConnection->IsAtRest();
    });
    entry = entry->second.empty() ? m_resting.erase(entry) : std::next(entry);
  }
}

} // namespace jujubehead::net
