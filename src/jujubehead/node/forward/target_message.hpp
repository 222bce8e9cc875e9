#ifndef JUJUBEHEAD_NODE_FORWARD_TARGET_MESSAGE_HPP
#define JUJUBEHEAD_NODE_FORWARD_TARGET_MESSAGE_HPP

#include <string> // for string

#include "jujubehead/node/forward/header_codec.hpp" // for HeaderCodec, TargetCall

#include "caller_session.hpp" // for CallerRequest

namespace jujubehead::node {

/// @brief Formats the header of a caller's request for a target, before its
/// body: method, path and query are unchanged; the system's own header lines
/// replace any that the caller sent under their names.
std::string
FormatTargetHeader(const HeaderCodec& aHeaderCodec,
                   const CallerRequest& aRequest,
                   const TargetCall& aCall);

/// @return the header lines of a target's reply that are passed to the caller:
/// neither hop-by-hop ones nor those that only concern instances.
net::HttpHeaders
HeadersForCaller(const HeaderCodec& aHeaderCodec,
                 const net::HttpHeaders& aReply);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_TARGET_MESSAGE_HPP
