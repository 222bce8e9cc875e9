#ifndef JUJUBEHEAD_NET_HTTP_REFUSAL_HPP
#define JUJUBEHEAD_NET_HTTP_REFUSAL_HPP

#include <boost/system/error_code.hpp> // for error_code

#include "jujubehead/net/api_error.hpp" // for ApiError

namespace jujubehead::net {

/// @brief The reply to a request that could not be read.
/// @param aError what the parser or the socket said.
/// @param aTimedOut whether a deadline ended the read.
/// @return 408, 413, 431 or 400; always `not_run`.
ApiError
RefusalOf(const boost::system::error_code& aError, bool aTimedOut);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP_REFUSAL_HPP
