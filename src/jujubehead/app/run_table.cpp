#include "run.hpp"

#include <ostream> // for ostream
#include <span>    // for span

#include "jujubehead/core/table_review.hpp" // for RenderReview
#include "jujubehead/net/random_text.hpp"   // for RandomText
#include "jujubehead/net/run_awaitable.hpp" // for RunAwaitable
#include "table_file.hpp"                   // for ReadTableFile

namespace jujubehead::app {
namespace {

using boost::asio::awaitable;

constexpr std::size_t kTokenBytes = 16;

/// What an operator's table asks for, against what is in force.
struct Intent
{
  core::TableView base;    ///< To publish from.
  core::TableView current; ///< In force.
  std::vector<core::Change> changes;
  std::vector<std::string> stale; ///< Subjects that others changed meanwhile.
};

/// Compares a table with what it was made from and with what is in force.
class IntentMaker
{
public:
  IntentMaker(net::TableLog& aLog, const BaseOptions& aBase)
    : m_log(aLog)
    , m_base(aBase)
  {
  }

  /// @throws std::invalid_argument with findings about the base's file.
  awaitable<Intent> Make(const core::Table& aTable)
  {
    Intent intent;
    intent.current = co_await m_log.ReadCurrent();
    intent.base = intent.current;
    core::Table base = intent.current.Current()->table;
    if (!m_base.file.empty()) {
      base = ReadTableFile(m_base.file).value();
    } else if (m_base.version) {
      intent.base = co_await ReadBaseVersion();
      base = intent.base.Current()->table;
    }
    intent.changes = core::ChangesBetween(base, aTable);
    intent.stale =
      core::ChangedSince(base, *intent.current.Current(), intent.changes);
    co_return intent;
  }

private:
  awaitable<core::TableView> ReadBaseVersion()
  {
    auto view = co_await m_log.ReadAt(*m_base.version);
    if (!view) {
      throw std::runtime_error(
        "version " + std::to_string(*m_base.version) +
        " is not kept or has not come yet; give another --base_version");
    }
    co_return std::move(*view);
  }

  net::TableLog& m_log;
  const BaseOptions& m_base;
};

core::Table
After(const Intent& aIntent)
{
  core::TableView view = aIntent.current;
  view.Apply(
    core::ChangeEntry{ view.Version() + 1, "plan", "plan", aIntent.changes });
  return view.Current()->table;
}

void
PrintStale(const Intent& aIntent, std::ostream& aOut)
{
  for (const std::string& subject : aIntent.stale) {
    aOut << "conflict: " << subject
         << " was changed by others since the base\n";
  }
}

void
PrintNext(const PlanCommand& aCommand,
          const Intent& aIntent,
          std::ostream& aOut)
{
  if (aIntent.changes.empty()) {
    return;
  }
  const std::string base =
    aCommand.base.file.empty()
      ? "--base_version=" + std::to_string(aIntent.base.Version())
      : "--base=" + aCommand.base.file;
  aOut << "to bring just this in force: jujubehead apply " << aCommand.file
       << ' ' << base << '\n';
}

ExitCode
PrintFindings(const core::Findings& aFindings, Tools& aTools)
{
  aTools.err << core::Render(aFindings) << aFindings.size()
             << (aFindings.size() == 1 ? " finding\n" : " findings\n");
  return ExitCode::kFindings;
}

/// Without a base, a table made from an older one would take back what others
/// changed since.
core::Finding
NoBase(std::uint64_t aVersion)
{
  const std::string version = std::to_string(aVersion);
  return { core::Place{ "flags:--base", 0, 0 },
           "not set, and version " + version + " is in force",
           "--base=FILE with the table before the edit, or --base_version=N "
           "as `jujubehead plan` prints it" };
}

/// Prints the end of a publisher.
struct PublishReporter
{
  Tools& tools;

  ExitCode operator()(const core::Published& aEnd) const
  {
    tools.out << "in force as version " << aEnd.version << '\n';
    return ExitCode::kDone;
  }
  ExitCode operator()(const core::AlreadyApplied& aEnd) const
  {
    tools.out << "nothing to change: version " << aEnd.version
              << " has all of it\n";
    return ExitCode::kDone;
  }
  ExitCode operator()(const core::Conflicted& aEnd) const
  {
    for (const core::ChangeConflict& conflict : aEnd.conflicts) {
      tools.err << "conflict: " << conflict.subject << " was changed by "
                << conflict.author << " in version " << conflict.version
                << '\n';
    }
    tools.err << "nothing was written\n";
    return ExitCode::kConflict;
  }
  ExitCode operator()(const core::Refused& aEnd) const
  {
    tools.err << "with what others changed meanwhile, the table would be "
                 "wrong; nothing was written\n";
    return PrintFindings(aEnd.findings, tools);
  }
  ExitCode operator()(const core::GaveUp& aEnd) const
  {
    tools.err << aEnd.why << '\n';
    if (aEnd.may_be_applied) {
      tools.err << "the change may or may not be in force; run the same "
                   "command again to settle it\n";
      return ExitCode::kUnknown;
    }
    tools.err << "nothing was written\n";
    return ExitCode::kFailed;
  }
  template<typename Step>
  ExitCode operator()(const Step& /*aNoEnd*/) const
  {
    return ExitCode::kFailed;
  }
};

} // namespace

ExitCode
ReportPublish(const core::PublishStep& aEnd, Tools& aTools)
{
  return std::visit(PublishReporter{ aTools }, aEnd);
}

ExitCode
RunCheck(const CheckCommand& aCommand, Tools& aTools)
{
  const auto table = ReadTableFile(aCommand.file);
  if (table.has_error()) {
    return PrintFindings(table.error(), aTools);
  }
  aTools.out << aCommand.file << ": " << table->Rows().size() << " rows, "
             << table->Models().size() << " models, no findings\n";
  return ExitCode::kDone;
}

ExitCode
RunPlan(const PlanCommand& aCommand, Tools& aTools)
{
  const auto table = ReadTableFile(aCommand.file);
  if (table.has_error()) {
    return PrintFindings(table.error(), aTools);
  }
  const auto platform = aTools.connect(aCommand.platform);
  IntentMaker maker(platform->Log(), aCommand.base);
  const Intent intent =
    net::RunAwaitable(platform->Context(), maker.Make(*table));
  const core::Table after = After(intent);
  aTools.out << "in force: version " << intent.current.Version() << ", "
             << intent.current.Current()->table.Rows().size() << " rows\n"
             << core::RenderReview(intent.current.Current()->table, after);
  if (!intent.stale.empty()) {
    PrintStale(intent, aTools.err);
    return ExitCode::kConflict;
  }
  const core::Findings findings = after.Check("table after the change");
  if (!findings.empty()) {
    return PrintFindings(findings, aTools);
  }
  PrintNext(aCommand, intent, aTools.out);
  return ExitCode::kDone;
}

ExitCode
RunApply(const ApplyCommand& aCommand, Tools& aTools)
{
  const auto table = ReadTableFile(aCommand.file);
  if (table.has_error()) {
    return PrintFindings(table.error(), aTools);
  }
  const auto platform = aTools.connect(aCommand.platform);
  IntentMaker maker(platform->Log(), aCommand.base);
  Intent intent = net::RunAwaitable(platform->Context(), maker.Make(*table));
  if (!aCommand.base.IsSet() && intent.current.Version() != 0) {
    return PrintFindings({ NoBase(intent.current.Version()) }, aTools);
  }
  if (!aCommand.base.file.empty() && !intent.stale.empty()) {
    PrintStale(intent, aTools.err);
    aTools.err << "nothing was written\n";
    return ExitCode::kConflict;
  }
  core::TablePublish publish(std::move(intent.base),
                             std::move(intent.changes),
                             net::RandomText(kTokenBytes),
                             aCommand.author.empty() ? aTools.login_name
                                                     : aCommand.author);
  const net::SleepFor sleep = platform->Sleeper();
  return ReportPublish(
    net::RunAwaitable(platform->Context(),
                      net::Publish(platform->Log(), std::move(publish), sleep)),
    aTools);
}

ExitCode
RunTable(const TableCommand& aCommand, Tools& aTools)
{
  const auto platform = aTools.connect(aCommand.platform);
  if (!aCommand.version) {
    const core::TableView view =
      net::RunAwaitable(platform->Context(), platform->Log().ReadCurrent());
    aTools.out << view.Current()->table.ToCsv();
    return ExitCode::kDone;
  }
  const auto view = net::RunAwaitable(
    platform->Context(), platform->Log().ReadAt(*aCommand.version));
  if (!view) {
    aTools.err << "version " << *aCommand.version
               << " is not kept or has not come yet\n";
    return ExitCode::kFailed;
  }
  aTools.out << view->Current()->table.ToCsv();
  return ExitCode::kDone;
}

} // namespace jujubehead::app
