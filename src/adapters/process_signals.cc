#include "adapters/process_signals.h"

namespace workshatch {

namespace {

sigset_t handledSignals() {
  sigset_t signals = stopSignals();
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

sigset_t stopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void blockHandledSignals() {
  const sigset_t signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

void unblockHandledSignals() {
  const sigset_t signals = handledSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace workshatch
