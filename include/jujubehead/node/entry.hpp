#ifndef JUJUBEHEAD_NODE_ENTRY_HPP
#define JUJUBEHEAD_NODE_ENTRY_HPP

#include <functional> // for function

#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/membership/store_paths.hpp" // for StorePaths
#include "jujubehead/node/control/platform.hpp"       // for Platform
#include "jujubehead/node/forward/entry_options.hpp"  // for EntryOptions
#include "jujubehead/node/forward/header_codec.hpp"   // for HeaderCodec

namespace jujubehead::node {

/// Makes the calls to the platform that run on a context, over these ways.
using MakePlatform = std::function<Platform(boost::asio::io_context& aContext,
                                            core::StorePaths& aPaths)>;

/// @brief Runs an instance that forwards callers' requests, until SIGTERM or
/// SIGINT; then the open requests end and it returns.
/// @return the exit code.
int
RunEntry(const EntryOptions& aOptions,
         const HeaderCodec& aHeaderCodec,
         const MakePlatform& aMakePlatform);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_ENTRY_HPP
