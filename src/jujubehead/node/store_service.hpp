#ifndef JUJUBEHEAD_NODE_STORE_SERVICE_HPP
#define JUJUBEHEAD_NODE_STORE_SERVICE_HPP

#include <map>    // for map
#include <string> // for string
#include <vector> // for vector

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/ids.hpp"        // for StoreId
#include "jujubehead/net/http_client.hpp" // for HttpClient
#include "jujubehead/node/status.hpp"     // for OwnedStoreStatus
#include "jujubehead/wire/messages.hpp"   // for ExportOffer, LinkQuoteRequest

namespace jujubehead::node {

class DirectoryService;
class MemberBook;
class PeerCalls;
class ThreadMetrics;

/// @brief Decides what the stores that this instance owns keep, and when their
/// links carry it. On the control thread.
///
/// Contexts are offered by the entries that ran them. A copy is named by a
/// handle and a generation that is never used again; it is hinted to others
/// only once the store has committed it.
class StoreService
{
public:
  /// @param aPeers, aClient, aMembers, aDirectory, aMetrics outlive this.
  StoreService(PeerCalls& aPeers,
               net::HttpClient& aClient,
               const MemberBook& aMembers,
               DirectoryService& aDirectory,
               ThreadMetrics& aMetrics);
  ~StoreService();

  void Own(const core::StoreId& aStore, std::uint64_t aEpoch);
  void Disown(const core::StoreId& aStore);

  void OnOffer(const wire::ExportOffer& aOffer);
  void OnMissing(const wire::CopyMissing& aMissing);
  [[nodiscard]] wire::LinkQuote Quote(const wire::LinkQuoteRequest& aAsk) const;
  /// @brief Starts transfers that are due.
  void Tick();

  [[nodiscard]] std::vector<OwnedStoreStatus> Status() const;

private:
  struct Copy;
  struct OwnedStore;

  void NoteReturn(OwnedStore& aOwned, const wire::ExportOffer& aOffer);
  [[nodiscard]] bool IsWorthKeeping(const OwnedStore& aOwned,
                                    const wire::ExportOffer& aOffer) const;
  boost::asio::awaitable<void> Export(core::StoreId aStore,
                                      std::uint64_t aTransfer);
  boost::asio::awaitable<bool> TryExport(core::StoreId aStore,
                                         const wire::ExportOffer& aOffer);
  boost::asio::awaitable<bool> MakeRoom(core::StoreId aStore,
                                        const wire::ExportOffer& aOffer);
  void Forget(const core::StoreId& aStore, const std::string& aHandle);

  PeerCalls& m_peers;
  net::HttpClient& m_client;
  const MemberBook& m_members;
  DirectoryService& m_directory;
  ThreadMetrics& m_metrics;
  std::map<core::StoreId, OwnedStore> m_owned;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_STORE_SERVICE_HPP
