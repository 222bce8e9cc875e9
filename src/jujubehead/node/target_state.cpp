#include "jujubehead/node/target_state.hpp"

#include <algorithm> // for find

namespace jujubehead::node {
namespace {

bool
Has(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

bool
CanServe(const TargetState& aState,
         const std::string& aVersion,
         const std::string& aAdapter)
{
  if (!aState.reachable) {
    return false;
  }
  const bool version = aState.versions.empty() || aVersion.empty() ||
                       Has(aState.versions, aVersion);
  const bool adapter = aAdapter.empty() || Has(aState.adapters, aAdapter);
  return version && adapter;
}

} // namespace jujubehead::node
