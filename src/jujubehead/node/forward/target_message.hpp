#ifndef JUJUBEHEAD_NODE_FORWARD_TARGET_MESSAGE_HPP
#define JUJUBEHEAD_NODE_FORWARD_TARGET_MESSAGE_HPP

#include <string> // for string

#include "jujubehead/node/forward/dialect.hpp" // for Dialect, TargetCall

#include "caller_session.hpp" // for CallerRequest

namespace jujubehead::node {

/// @brief The bytes of a caller's request as they go to a target: method, path,
/// query and body as they came, with this system's own lines in place of any
/// the caller sent under their names.
std::string
TargetMessage(const Dialect& aDialect,
              const CallerRequest& aRequest,
              const TargetCall& aCall);

/// @return the lines of a target's reply that go to the caller.
net::HttpHeaders
LinesForCaller(const net::HttpHeaders& aReply);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_TARGET_MESSAGE_HPP
