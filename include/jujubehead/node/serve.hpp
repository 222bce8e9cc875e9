#ifndef JUJUBEHEAD_NODE_SERVE_HPP
#define JUJUBEHEAD_NODE_SERVE_HPP

#include "jujubehead/node/serve_options.hpp" // for ServeOptions

namespace jujubehead::node {

/// @brief Runs an instance until SIGINT or SIGTERM, which begin a planned stop:
/// no request is cut off. A second signal ends it at once.
/// @return the exit code: 0 after a complete stop, 1 when requests were left
/// or the instance could not start (said in the log).
int
Serve(const ServeOptions& aOptions);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_SERVE_HPP
