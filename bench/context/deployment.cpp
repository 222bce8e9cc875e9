#include "bench/context/deployment.hpp"

namespace jujubehead::bench::context {
namespace {

constexpr double kMinute = 60;
constexpr double kHour = 3600;

/// Ten accounts of uneven size: the first three have two thirds of the load.
std::vector<AccountShape>
Households()
{
  return {
    { 0.30, 0.50, 2 * kMinute, 60 * kMinute, 0.010 },
    { 0.20, 0.45, 3 * kMinute, 90 * kMinute, 0.010 },
    { 0.15, 0.55, 2 * kMinute, 40 * kMinute, 0.015 },
    { 0.10, 0.40, 4 * kMinute, 2 * kHour, 0.010 },
    { 0.07, 0.50, 2 * kMinute, 30 * kMinute, 0.020 },
    { 0.06, 0.30, 5 * kMinute, 3 * kHour, 0.020 },
    { 0.05, 0.60, 1 * kMinute, 50 * kMinute, 0.015 },
    { 0.03, 0.50, 2 * kMinute, 90 * kMinute, 0.100 },
    { 0.02, 0.30, 2 * kMinute, 60 * kMinute, 0.500 },
    { 0.02, 0.50, 3 * kMinute, 20 * kMinute, 0.030 },
  };
}

/// Member institutes: jobs on one coding frame come in runs.
std::vector<AccountShape>
Institutes()
{
  return {
    { 0.30, 0.55, 3 * kMinute, 60 * kMinute, 0.015 },
    { 0.20, 0.50, 4 * kMinute, 2 * kHour, 0.015 },
    { 0.15, 0.60, 3 * kMinute, 40 * kMinute, 0.020 },
    { 0.10, 0.40, 5 * kMinute, 90 * kMinute, 0.020 },
    { 0.07, 0.50, 3 * kMinute, 3 * kHour, 0.020 },
    { 0.06, 0.20, 4 * kMinute, 60 * kMinute, 0.400 },
    { 0.05, 0.60, 2 * kMinute, 50 * kMinute, 0.020 },
    { 0.03, 0.50, 3 * kMinute, 90 * kMinute, 0.100 },
    { 0.02, 0.30, 4 * kMinute, 60 * kMinute, 0.300 },
    { 0.02, 0.50, 3 * kMinute, 30 * kMinute, 0.030 },
  };
}

} // namespace

Duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(Seconds(aSeconds));
}

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration_cast<Seconds>(aDuration).count();
}

std::vector<Deployment>
Deployments()
{
  return {
    { "kuttanad", 18, 0.5, 4, 64, 0.05, 1, 120, 200, 0.0, Households() },
    { "forbund", 90, 0.5, 24, 320, 0.05, 4, 200, 150, 0.005, Institutes() },
  };
}

std::vector<Condition>
Conditions()
{
  return {
    { "today", 0.6, 1.0, false, 0.0, {} },
    { "links_quarter", 0.6, 0.25, false, 0.0, {} },
    { "store_lost", 0.6, 1.0, true, 0.0, {} },
    { "load_90", 0.9, 1.0, false, 0.0, {} },
  };
}

std::vector<Condition>
Probes()
{
  using std::chrono::seconds;
  return {
    { "all_events", 0.6, 1.0, false, 0.0, {} },
    { "events_lost_1pc", 0.6, 1.0, false, 0.01, {} },
    { "events_lost_10pc", 0.6, 1.0, false, 0.1, {} },
    { "events_lost_all", 0.6, 1.0, false, 1.0, {} },
    { "quotes_5s_old", 0.6, 1.0, false, 0.0, seconds(5) },
    { "quotes_30s_old", 0.6, 1.0, false, 0.0, seconds(30) },
  };
}

} // namespace jujubehead::bench::context
