// Help texts of the commands.

/** Commands of the program. */
export const commandNames = ['proxy', 'check', 'apply', 'status', 'keys'] as const

/** Name of a command. */
export type CommandName = typeof commandNames[number]

/** Help of the program as a whole. */
export const programHelp = `usage: limpetmoor COMMAND [OPTIONS]

  proxy    run the proxy of this host
  check    check settings or a manifest; needs no platform
  apply    bring a manifest into force
  status   show what the hosts report
  keys     make a key or the digest of one

limpetmoor COMMAND --help tells more; --version tells the version.
Exit codes: 0 done, 1 failed, 2 wrong usage or invalid input.`

/**
 * Help of one command.
 * @param command - its name
 * @returns the text
 */
export function commandHelp (command: CommandName): string {
  switch (command) {
    case 'proxy': return `usage: limpetmoor proxy --settings FILE

Runs the proxy of this host until SIGTERM or SIGINT, then stops gracefully.

  --settings FILE   settings of the host (TOML)`
    case 'check': return `usage: limpetmoor check --settings FILE | --manifest FILE

Checks the files and prints every error with its place.

  --settings FILE   settings of a host (TOML)
  --manifest FILE   manifest of the fleet (JSON)`
    case 'apply': return `usage: limpetmoor apply --platform URL --manifest FILE [--expect GENERATION] [--by NAME]

Brings a manifest into force under the next generation. Applying the manifest
that is in force changes nothing.

  --platform URL         base URL of the platform
  --manifest FILE        manifest of the fleet (JSON)
  --expect GENERATION    refuse where another generation is in force; 0: none
  --by NAME              who applies, shown to whoever loses a race`
    case 'status': return `usage: limpetmoor status --platform URL [--json]

Shows the accepted generation, the hosts that are not on it, and for each
database and client account what the hosts report.

  --platform URL   base URL of the platform
  --json           the same as JSON`
    case 'keys': return `usage: limpetmoor keys new
       limpetmoor keys digest

new      prints a new key and its digest
digest   reads a key from the standard input and prints its digest`
  }
}
