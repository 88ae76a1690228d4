#include "adapters/worker_pool.h"

#include <algorithm>

namespace workshatch {

WorkerPool::WorkerPool(size_t workers) {
  for (size_t i = 0; i < std::max<size_t>(workers, 1); ++i) {
    workers_.push_back(std::make_unique<Worker>());
  }
}

WorkerPool::~WorkerPool() { stop(); }

void WorkerPool::start() {
  for (auto& worker : workers_) {
    worker->thread = std::thread([&context = worker->context] { context.run(); });
  }
}

void WorkerPool::stop() {
  for (auto& worker : workers_) {
    worker->context.stop();
  }
  for (auto& worker : workers_) {
    if (worker->thread.joinable()) {
      worker->thread.join();
    }
  }
}

} // namespace workshatch
