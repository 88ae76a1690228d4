#!/usr/bin/env bash
# Fails if a name of the users' platform is used outside platform/ and deploy/, or if a source file
# includes a header from outside its layer.
set -euo pipefail
cd "$(dirname "$0")/.."

names='Server-Leaving|X-(Server-Signature|Api-Key|Target-Instance|Not-Executed|Prompt-Prefix|Token-Usage|Length-Hint|Deadline-Ms|Instance-Load|Instance-Id|Request-Priority)|/-/(resolve|config|readyz|report)|pathPrefix|apiKeys|kvCapacity|gapTargetMs|"stride"|timeoutMs|maxAttempts|cloudApi|coldLeftMs|fleetbench|WORKSHATCH_SETTINGS'
if git grep -nE "$names" -- src proto schema tests bench examples; then
  echo "names of the platform outside platform/ and deploy/" >&2
  exit 1
fi

layer() { # FOLDER FORBIDDEN-INCLUDES
  if git grep -nE "#include \"($2)/" -- "$1"; then
    echo "$1 includes what lies outside its layer" >&2
    exit 1
  fi
}
layer src/core 'adapters|daemon|cli|standin|scenario'
layer src/ports 'adapters|daemon|cli|standin|scenario'
layer src/adapters 'daemon|cli|standin|scenario'
layer src/daemon 'cli|standin|scenario'
layer platform/configuration_codec.cc 'adapters|daemon'
layer platform/dialect.cc 'adapters|daemon'
layer platform/runner_entry_codec.cc 'adapters|daemon'
layer platform/runner_list_codec.cc 'adapters|daemon'
echo "names and layers: clean"
