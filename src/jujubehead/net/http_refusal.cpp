#include "http_refusal.hpp"

#include <utility> // for move

#include <boost/beast/http/error.hpp> // for error

namespace jujubehead::net {
namespace {

ApiError
Refusal(unsigned aStatus, std::string aMessage, std::string aCode)
{
  ApiError error;
  error.status = aStatus;
  error.message = std::move(aMessage);
  error.type = "invalid_request_error";
  error.code = std::move(aCode);
  error.run_state = RunState::kNotRun;
  return error;
}

} // namespace

ApiError
RefusalOf(const boost::system::error_code& aError, bool aTimedOut)
{
  namespace http = boost::beast::http;
  if (aTimedOut) {
    return Refusal(
      408, "The request did not arrive in time.", "request_timeout");
  }
  if (aError == http::error::header_limit) {
    return Refusal(431, "The request header is too large.", "header_too_large");
  }
  if (aError == http::error::body_limit) {
    return Refusal(413, "The request body is too large.", "body_too_large");
  }
  return Refusal(
    400, "This is not a valid HTTP request: " + aError.message(), "bad_http");
}

} // namespace jujubehead::net
