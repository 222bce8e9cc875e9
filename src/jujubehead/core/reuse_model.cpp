#include "jujubehead/core/reuse_model.hpp"

#include <algorithm>     // for clamp, max, min
#include <array>         // for array
#include <chrono>        // for duration
#include <cmath>         // for exp, exp2, log, log2
#include <unordered_map> // for unordered_map

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Spans of idle time: [0, 4 s), then two per doubling; the last one is
/// unbounded. Contexts in one span rank alike: with one span per doubling, that
/// would be everything between 4.5 and 9 hours.
constexpr std::size_t kSpans = 36;
constexpr double kSpansPerDoubling = 2;
constexpr double kFirstSpanEnd = 4;
/// Median return time under the prior, in seconds: an hour.
constexpr double kPriorHalfTime = 3600;
/// Observations of an account between updates of its rates.
constexpr int kRefreshInterval = 64;

template<typename T>
using PerSpan = std::array<T, kSpans>;

double
ToSeconds(Duration aDuration)
{
  return std::max(0.0, std::chrono::duration_cast<Seconds>(aDuration).count());
}

/// Gives the unbounded last span an end too, in proportion to the others.
double
SpanEnd(std::size_t aSpan)
{
  return kFirstSpanEnd *
         std::exp2(static_cast<double>(aSpan) / kSpansPerDoubling);
}

double
SpanBegin(std::size_t aSpan)
{
  return aSpan == 0 ? 0.0 : SpanEnd(aSpan - 1);
}

std::size_t
SpanOf(double aAge)
{
  if (aAge < kFirstSpanEnd) {
    return 0;
  }
  const double doublings = std::log2(aAge / kFirstSpanEnd);
  const auto span = 1 + static_cast<std::size_t>(doublings * kSpansPerDoubling);
  return std::min(span, kSpans - 1);
}

struct Counts
{
  PerSpan<double> returns{};
  PerSpan<double> seconds{}; ///< Time at risk.
};

/// Returns per second, by span of idle time.
using Rates = PerSpan<double>;

Rates
Blend(const Counts& aCounts, const Rates& aPrior, double aWeight)
{
  Rates rates{};
  for (std::size_t i = 0; i < kSpans; ++i) {
    rates[i] = (aCounts.returns[i] + aWeight) /
               (aCounts.seconds[i] + aWeight / aPrior[i]);
  }
  return rates;
}

/// Ratio of observed returns to those expected under the rates.
double
RateRatio(const Counts& aCounts, const Rates& aRates, double aWeight)
{
  double observed = aWeight;
  double expected = aWeight;
  for (std::size_t i = 0; i < kSpans; ++i) {
    observed += aCounts.returns[i];
    expected += aCounts.seconds[i] * aRates[i];
  }
  return observed / expected;
}

/// Shrinks towards the rates scaled by RateRatio(): an account that seldom
/// returns is assumed to do so in every span without evidence to the contrary.
Rates
BlendScaled(const Counts& aCounts, const Rates& aPrior, double aWeight)
{
  const double ratio = RateRatio(aCounts, aPrior, aWeight);
  Rates scaled{};
  for (std::size_t i = 0; i < kSpans; ++i) {
    scaled[i] = aPrior[i] * ratio;
  }
  return Blend(aCounts, scaled, aWeight);
}

Rates
Prior()
{
  Rates rates{};
  rates.fill(std::log(2.0) / kPriorHalfTime);
  return rates;
}

/// Integrates the rates from an age onwards.
class ReuseProjection
{
public:
  ReuseProjection(const Rates& aRates, double aAge)
    : m_rates(aRates)
    , m_age(aAge)
    , m_span(SpanOf(aAge))
  {
  }

  [[nodiscard]] bool AtEnd() const { return m_span == kSpans; }
  [[nodiscard]] double Chance() const { return 1 - m_idle_probability; }
  [[nodiscard]] double ExpectedSeconds() const { return m_expected_seconds; }
  [[nodiscard]] double Age() const { return m_age; }

  /// Advances to the end of the span, at most to aLimit.
  void Step(double aLimit)
  {
    const double end = std::min(SpanEnd(m_span), aLimit);
    const double length = std::max(0.0, end - m_age);
    const double left = std::exp(-m_rates[m_span] * length);
    m_expected_seconds += m_idle_probability * (1 - left) / m_rates[m_span];
    m_idle_probability *= left;
    m_age = end;
    ++m_span;
  }

private:
  const Rates& m_rates;
  double m_age;
  std::size_t m_span;
  double m_idle_probability = 1;
  double m_expected_seconds = 0; ///< Expected retention time so far.
};

/// Interpolates between the middles of two spans, so that contexts in one span
/// differ by age.
double
Interpolate(const Rates& aRates, double aAge)
{
  const std::size_t span = SpanOf(aAge);
  const double share =
    (aAge - SpanBegin(span)) / (SpanEnd(span) - SpanBegin(span));
  const double place = std::clamp(
    static_cast<double>(span) + share - 0.5, 0.0, double{ kSpans - 1 });
  const auto low = static_cast<std::size_t>(place);
  const std::size_t high = std::min(low + 1, kSpans - 1);
  const double weight = place - static_cast<double>(low);
  return aRates[low] * (1 - weight) + aRates[high] * weight;
}

/// Best ratio of returns to retention time, over the ends of spans after the
/// age.
double
BestRate(const Rates& aRates, double aAge)
{
  constexpr double kNoLimit = 1e18;
  ReuseProjection projection(aRates, aAge);
  double best = 0;
  while (!projection.AtEnd()) {
    projection.Step(kNoLimit);
    if (projection.ExpectedSeconds() > 0) {
      best = std::max(best, projection.Chance() / projection.ExpectedSeconds());
    }
  }
  return best;
}

} // namespace

class ReuseModel::Estimator
{
public:
  explicit Estimator(const ReuseModelSettings& aSettings)
    : m_settings(aSettings)
  {
    Refresh();
  }

  void Observe(const AccountId& aAccount,
               double aFrom,
               double aTo,
               bool aReturned)
  {
    Add(m_pool, aFrom, aTo, aReturned);
    if (Account* account = AccountOf(aAccount)) {
      Add(account->counts, aFrom, aTo, aReturned);
      if (++account->since_refresh >= kRefreshInterval) {
        Refresh();
        Refresh(*account);
      }
    }
  }

  void Decay(double aFactor)
  {
    Scale(m_pool, aFactor);
    Refresh();
    for (auto& [id, account] : m_accounts) {
      Scale(account.counts, aFactor);
      Refresh(account);
    }
  }

  [[nodiscard]] double Chance(const AccountId& aAccount,
                              double aIdle,
                              double aWithin) const
  {
    ReuseProjection projection(RatesOf(aAccount), aIdle);
    while (!projection.AtEnd() && projection.Age() < aIdle + aWithin) {
      projection.Step(aIdle + aWithin);
    }
    return projection.Chance();
  }

  [[nodiscard]] double Rate(const AccountId& aAccount, double aIdle) const
  {
    const auto found = m_accounts.find(aAccount);
    const Rates& best =
      found == m_accounts.end() ? m_pool_best : found->second.best;
    return Interpolate(best, aIdle);
  }

private:
  struct Account
  {
    Counts counts;
    Rates rates{};
    Rates best{}; ///< BestRate by span.
    int since_refresh = 0;
  };

  static void Add(Counts& aCounts, double aFrom, double aTo, bool aReturned)
  {
    for (std::size_t span = SpanOf(aFrom); span < kSpans; ++span) {
      const double begin = std::max(aFrom, SpanBegin(span));
      const double end =
        span + 1 == kSpans ? aTo : std::min(aTo, SpanEnd(span));
      if (begin >= aTo) {
        break;
      }
      aCounts.seconds[span] += end - begin;
    }
    if (aReturned) {
      aCounts.returns[SpanOf(aTo)] += 1;
    }
  }

  static void Scale(Counts& aCounts, double aFactor)
  {
    for (std::size_t i = 0; i < kSpans; ++i) {
      aCounts.returns[i] *= aFactor;
      aCounts.seconds[i] *= aFactor;
    }
  }

  /// BestRate() from the middle of each span.
  static Rates Best(const Rates& aRates)
  {
    Rates best{};
    for (std::size_t i = 0; i < kSpans; ++i) {
      best[i] = BestRate(aRates, (SpanBegin(i) + SpanEnd(i)) / 2);
    }
    return best;
  }

  void Refresh()
  {
    m_pool_rates = BlendScaled(m_pool, Prior(), m_settings.prior_weight);
    m_pool_best = Best(m_pool_rates);
  }

  void Refresh(Account& aAccount) const
  {
    aAccount.since_refresh = 0;
    aAccount.rates =
      BlendScaled(aAccount.counts, m_pool_rates, m_settings.pool_weight);
    aAccount.best = Best(aAccount.rates);
  }

  Account* AccountOf(const AccountId& aAccount)
  {
    const auto found = m_accounts.find(aAccount);
    if (found != m_accounts.end()) {
      return &found->second;
    }
    if (m_accounts.size() >= m_settings.max_accounts) {
      return nullptr;
    }
    Account& account = m_accounts[aAccount];
    Refresh(account);
    return &account;
  }

  [[nodiscard]] const Rates& RatesOf(const AccountId& aAccount) const
  {
    const auto found = m_accounts.find(aAccount);
    return found == m_accounts.end() ? m_pool_rates : found->second.rates;
  }

  ReuseModelSettings m_settings;
  Counts m_pool;
  Rates m_pool_rates{};
  Rates m_pool_best{};
  std::unordered_map<AccountId, Account> m_accounts;
};

ReuseModel::ReuseModel(const ReuseModelSettings& aSettings)
  : m_estimator(std::make_unique<Estimator>(aSettings))
{
}

ReuseModel::~ReuseModel() = default;
ReuseModel::ReuseModel(ReuseModel&&) noexcept = default;
ReuseModel&
ReuseModel::operator=(ReuseModel&&) noexcept = default;

void
ReuseModel::Observe(const AccountId& aAccount,
                    Duration aFrom,
                    Duration aTo,
                    bool aReturned)
{
  m_estimator->Observe(aAccount, ToSeconds(aFrom), ToSeconds(aTo), aReturned);
}

void
ReuseModel::Decay(double aFactor)
{
  m_estimator->Decay(aFactor);
}

double
ReuseModel::ReuseProbability(const AccountId& aAccount,
                             Duration aIdle,
                             Duration aWithin) const
{
  return m_estimator->Chance(aAccount, ToSeconds(aIdle), ToSeconds(aWithin));
}

double
ReuseModel::ReuseRate(const AccountId& aAccount, Duration aIdle) const
{
  return m_estimator->Rate(aAccount, ToSeconds(aIdle));
}

} // namespace jujubehead::core
