#include "jujubehead/core/membership/tunnel_peers.hpp"

#include <algorithm> // for max
#include <map>       // for map
#include <random>    // for mt19937_64

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

const DataCentreRegions kRegions = {
  { DataCentreId("dc-1"), RegionId("south") },
  { DataCentreId("dc-2"), RegionId("south") },
  { DataCentreId("dc-3"), RegionId("north") }
};

KnownInstance
Instance(const std::string& aId, const std::string& aDataCentre)
{
  KnownInstance instance;
  instance.id = aId;
  instance.address = "10.0.0.1:1";
  instance.data_centre = DataCentreId(aDataCentre);
  instance.tunnel_address = "10.0.0.1:2";
  return instance;
}

std::vector<KnownInstance>
Fleet(int aCount)
{
  std::vector<KnownInstance> fleet;
  fleet.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    fleet.push_back(
      Instance("i" + std::to_string(i), "dc-" + std::to_string(i % 3 + 1)));
  }
  return fleet;
}

} // namespace

TEST_GROUP(TunnelPeers)
{
  const Homes anywhere{ {}, {}, kRegions };
  Instant now = Instant{} + std::chrono::hours(1);
  std::mt19937_64 random{ 1 };
  TunnelPeers peers{ "i0", DataCentreId("dc-1"), kRegions };

  std::string Chosen(const Homes& aHomes)
  {
    const TunnelPeer* peer = peers.Choose(aHomes, {}, random(), now);
    return peer != nullptr ? peer->id : "";
  }
};

TEST(TunnelPeers, NearOnesComeFirst)
{
  peers.Update({ Instance("far", "dc-3"),
                 Instance("region", "dc-2"),
                 Instance("near", "dc-1") });
  STRCMP_EQUAL("near", Chosen(anywhere).c_str());
  peers.OnFailure("near", now);
  STRCMP_EQUAL("region", Chosen(anywhere).c_str());
  peers.OnFailure("region", now);
  STRCMP_EQUAL("far", Chosen(anywhere).c_str());
  now += std::chrono::seconds(1);
  STRCMP_EQUAL("near", Chosen(anywhere).c_str());
}

// A whole data centre may be partitioned, and then each of its instances fails.
TEST(TunnelPeers, WithoutAnyOtherAFailedOneIsChosen)
{
  peers.Update({ Instance("near", "dc-1") });
  peers.OnFailure("near", now);
  STRCMP_EQUAL("near", Chosen(anywhere).c_str());
}

// A whole data centre may be partitioned: a second peer of it would fail, too.
TEST(TunnelPeers, TheSecondPeerIsOfAnotherDataCentre)
{
  peers.Update({ Instance("one", "dc-1"),
                 Instance("two", "dc-1"),
                 Instance("region", "dc-2") });
  const TunnelPeer* second = peers.Choose(anywhere, { "one" }, random(), now);
  STRCMP_EQUAL("region", second->id.c_str());
  const TunnelPeer* third =
    peers.Choose(anywhere, { "one", "region" }, random(), now);
  STRCMP_EQUAL("two", third->id.c_str());
}

// The data of an account that is bound to a region must not pass through
// another one.
TEST(TunnelPeers, OtherRegionsAreLeftOutWhereHomesForbidThem)
{
  const std::vector<RegionId> south = { RegionId("south") };
  const Homes homes{ south, {}, kRegions };
  peers.Update({ Instance("far", "dc-3") });
  STRCMP_EQUAL("", Chosen(homes).c_str());
  STRCMP_EQUAL("far", Chosen(anywhere).c_str());
}

TEST(TunnelPeers, InstancesOfOlderVersionsAreLeftOut)
{
  KnownInstance old = Instance("old", "dc-1");
  old.tunnel_address = "";
  peers.Update({ old });
  CHECK(peers.IsEmpty());
}

TEST(TunnelPeers, TheOneWithFewerTunnelsIsPreferred)
{
  peers.Update({ Instance("a", "dc-1"), Instance("b", "dc-1") });
  for (int i = 0; i < 5; ++i) {
    peers.OnBegin("a");
  }
  int chosen = 0;
  for (int i = 0; i < 100; ++i) {
    chosen += Chosen(anywhere) == "a" ? 1 : 0;
  }
  CHECK(chosen < 40);
}

// What an instance keeps must not grow with the fleet, and the instances of a
// partitioned data centre must not turn to the same neighbours.
TEST(TunnelPeers, TunnelsSpreadInAFleetOfAnySize)
{
  for (const int instances : { 36, 72, 144 }) {
    const auto fleet = Fleet(instances);
    std::map<std::string, int> tunnels;
    int requests = 0;
    for (const KnownInstance& self : fleet) {
      if (self.data_centre != DataCentreId("dc-1") || requests % 2 == 1) {
        ++requests;
        continue;
      }
      ++requests;
      TunnelPeers own{ self.id, self.data_centre, kRegions };
      own.Update(fleet);
      for (int i = 0; i < 20; ++i) {
        const TunnelPeer* peer = own.Choose(anywhere, {}, random(), now);
        own.OnBegin(peer->id);
        ++tunnels[peer->id];
      }
    }
    int most = 0;
    int all = 0;
    for (const auto& [id, count] : tunnels) {
      most = std::max(most, count);
      all += count;
    }
    const double mean = all / (instances / 3.0);
    CHECK(most <= 4 * mean);
  }
}
