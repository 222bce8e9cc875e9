#ifndef JUJUBEHEAD_NODE_TARGET_STATE_HPP
#define JUJUBEHEAD_NODE_TARGET_STATE_HPP

#include <string> // for string
#include <vector> // for vector

namespace jujubehead::node {

/// @brief What a target last said it is able to run. Lags.
struct TargetState
{
  bool reachable = true;
  bool loading = false;
  std::vector<std::string> versions; ///< Weight versions; empty: any.
  std::vector<std::string> adapters;
};

/// @return whether a request of that version and adapter can run there.
[[nodiscard]] bool
CanServe(const TargetState& aState,
         const std::string& aVersion,
         const std::string& aAdapter);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_TARGET_STATE_HPP
