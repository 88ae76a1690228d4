#include "scenario/soak_script.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <sstream>
#include <vector>

#include "ports/seeded_random.h"

namespace workshatch::scenario {

namespace {

constexpr uint32_t kControls = 3;
constexpr uint32_t kDaemons = 5;
constexpr uint32_t kModels = 4;
/// Maximum duration of a fault; the minimum is one step.
constexpr uint64_t kMaxFaultSteps = 4;
/// Lookup attempts to wait for in each step. They pace the scenario independently of the machine's
/// speed.
constexpr uint32_t kAnswersPerStep = 250;
/// The same while a daemon is frozen, because each caller that calls it waits for the read timeout
/// of six seconds.
constexpr uint32_t kAnswersPerFrozenStep = 30;
/// Chat sessions and confirmed keys per step, which set the size of the loads.
constexpr uint32_t kSessionsPerStep = 4;
constexpr uint32_t kKeysPerStep = 20;

/// Groups of processes. At most one fault is active in each.
enum class FaultGroup { Control, Router, FirstModel, SecondModel };
constexpr std::array<FaultGroup, 4> kFaultGroups = {
    FaultGroup::Control, FaultGroup::Router, FaultGroup::FirstModel, FaultGroup::SecondModel};

/// An active fault and the command that ends it.
struct Fault {
  FaultGroup group = FaultGroup::Control;
  /// Name of the disturbed process.
  std::string target;
  uint32_t ends_at_step = 0;
  std::string end_command;
};

/// Commands that begin and end one kind of fault. NAME is replaced by the name of the process.
struct FaultKind {
  const char* begin_command;
  const char* end_command;
};

constexpr std::array<FaultKind, 6> kDaemonFaults = {{
    {"kill NAME", "start NAME"},
    {"stop NAME", "start NAME"},
    {"freeze NAME", "thaw NAME"},
    {"cut NAME others", "heal"},
    {"cut NAME others way=out", "heal"},
    {"cut NAME others way=in", "heal"},
}};
constexpr FaultKind kFullDisk = {"disk NAME state=full", "disk NAME state=works"};
constexpr std::array<FaultKind, 6> kModelFaults = {{
    {"kill NAME", "start NAME"},
    {"freeze NAME", "thaw NAME"},
    {"fault NAME out_of_order=true foreign_events=true",
     "fault NAME out_of_order=false foreign_events=false"},
    {"fault NAME cut_after=5 cut_times=6", "fault NAME cut_times=0"},
    {"fault NAME delay_ms=40", "fault NAME delay_ms=0"},
    {"platform NAME state=leaving", "platform NAME state=live"},
}};

std::string withName(const std::string& text, const std::string& name) {
  const std::string placeholder = "NAME";
  std::string result = text;
  const size_t at = result.find(placeholder);
  return at == std::string::npos ? result : result.replace(at, placeholder.size(), name);
}

/// Generates one scenario.
class SoakScriptGenerator {
public:
  explicit SoakScriptGenerator(const SoakPlan& plan) : plan_(plan), random_(plan.seed) {}

  std::string generate() {
    writeHeader();
    for (step_ = 1; step_ <= plan_.steps; ++step_) {
      endExpiredFaults();
      if (random_.below(kStepsPerChange) == 0) {
        writeChange();
      } else {
        beginFault();
      }
      writeWaitForAnswers();
    }
    writeFooter();
    return out_.str();
  }

private:
  /// On average, one in this many steps is a configuration change; the others begin a fault
  /// if the drawn process group has none.
  static constexpr uint64_t kStepsPerChange = 4;

  void writeHeader() {
    out_ << "# Drawn with seed " << plan_.seed << ", " << plan_.steps << " steps.\n"
         << "fleet network=" << plan_.network << " step_ms=8 relays=yes\n"
         << "start all\nwait ready " << kDaemons << "\napply\n"
         << "load lookup boards count=" << (plan_.steps + 1) * kAnswersPerStep
         << " concurrency=6 pause_ms=10 keep=yes\n"
         << "load chat trails count=" << (plan_.steps + 1) * kSessionsPerStep
         << " repeat=2 concurrency=12 tokens=20 keep=yes\n"
         << "load confirm bookings count=" << (plan_.steps + 1) * kKeysPerStep
         << " repeat=2 concurrency=6 pause_ms=40 keep=yes\n";
    // Wait until the callers have connected before the resource usage is recorded, so that their
    // connections do not count as growth.
    out_ << "wait load boards answers=" << kAnswersPerStep / 2 << "\nwatch-footprint\n";
  }

  void writeWaitForAnswers() {
    const bool frozen = std::any_of(faults_.begin(), faults_.end(), [](const Fault& fault) {
      return fault.end_command.starts_with("thaw entry-");
    });
    answers_waited_for_ += frozen ? kAnswersPerFrozenStep : kAnswersPerStep;
    out_ << "wait load boards answers=" << answers_waited_for_ << "\n";
  }

  void writeFooter() {
    for (const Fault& fault : faults_) {
      out_ << fault.end_command << "\n";
    }
    out_ << "wait ready " << kDaemons << "\napply count=2\n"
         << "wait load boards\nwait load trails\nwait load bookings\n"
         << "expect footprint\n";
  }

  bool hasActiveFault(FaultGroup group) const {
    return std::any_of(faults_.begin(), faults_.end(),
                       [group](const Fault& fault) { return fault.group == group; });
  }

  /// @return whether a fault of the process is active or ended in this step. In the latter case the
  /// process may have been restarted and may not listen yet.
  bool isDisturbed(const std::string& name) const {
    return std::any_of(faults_.begin(), faults_.end(),
                       [&](const Fault& fault) { return fault.target == name; }) ||
           std::find(ended_this_step_.begin(), ended_this_step_.end(), name) !=
               ended_this_step_.end();
  }

  void endExpiredFaults() {
    ended_this_step_.clear();
    for (auto fault = faults_.begin(); fault != faults_.end();) {
      if (fault->ends_at_step > step_) {
        ++fault;
        continue;
      }
      out_ << fault->end_command << "\n";
      ended_this_step_.push_back(fault->target);
      fault = faults_.erase(fault);
    }
  }

  /// Draws a control replica, or a daemon without control role.
  std::string drawDaemon(FaultGroup group) {
    const bool control = group == FaultGroup::Control;
    const uint64_t number = control ? 1 + random_.below(kControls)
                                    : 1 + kControls + random_.below(kDaemons - kControls);
    return "entry-" + std::to_string(number);
  }

  std::string drawModel() { return "assistant-" + std::to_string(1 + random_.below(kModels)); }

  FaultKind drawFaultKind(FaultGroup group) {
    if (group == FaultGroup::FirstModel || group == FaultGroup::SecondModel) {
      return kModelFaults[random_.below(kModelFaults.size())];
    }
    const uint64_t kinds = kDaemonFaults.size() + (group == FaultGroup::Control ? 1 : 0);
    const uint64_t drawn = random_.below(kinds);
    return drawn == kDaemonFaults.size() ? kFullDisk : kDaemonFaults[drawn];
  }

  /// The command `heal` ends all cuts, so only one daemon may be cut off at a time.
  bool hasActiveCut() const {
    return std::any_of(faults_.begin(), faults_.end(),
                       [](const Fault& fault) { return fault.end_command == "heal"; });
  }

  void beginFault() {
    const FaultGroup group = kFaultGroups[random_.below(kFaultGroups.size())];
    const bool daemon = group == FaultGroup::Control || group == FaultGroup::Router;
    const std::string name = daemon ? drawDaemon(group) : drawModel();
    const FaultKind kind = drawFaultKind(group);
    const uint32_t steps = 1 + static_cast<uint32_t>(random_.below(kMaxFaultSteps));
    const std::string end_command = withName(kind.end_command, name);
    if (hasActiveFault(group) || isDisturbed(name) || (end_command == "heal" && hasActiveCut())) {
      return;
    }
    out_ << withName(kind.begin_command, name) << "\n";
    faults_.push_back(Fault{
        .group = group, .target = name, .ends_at_step = step_ + steps, .end_command = end_command});
  }

  /// Writes a configuration change, which must be accepted even while one control replica is
  /// disturbed.
  void writeChange() {
    if (random_.below(2) == 0 && !hasActiveFault(FaultGroup::Control)) {
      out_ << "race operators=3\n";
    } else {
      out_ << "apply count=2\n";
    }
  }

  const SoakPlan plan_;
  SeededRandom random_;
  uint32_t step_ = 0;
  /// Total number of lookup attempts for which the last step waits.
  uint32_t answers_waited_for_ = 0;
  std::vector<Fault> faults_;
  /// Processes whose fault ended in this step.
  std::vector<std::string> ended_this_step_;
  std::ostringstream out_;
};

} // namespace

std::string soakScript(const SoakPlan& plan) { return SoakScriptGenerator(plan).generate(); }

} // namespace workshatch::scenario
