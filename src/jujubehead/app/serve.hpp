#ifndef JUJUBEHEAD_APP_SERVE_HPP
#define JUJUBEHEAD_APP_SERVE_HPP

#include "jujubehead/node/serve_options.hpp" // for ServeOptions

namespace jujubehead::app {

/// @brief Runs an instance until it is told to end.
/// @return the exit code.
int
Serve(const node::ServeOptions& aOptions);

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_SERVE_HPP
