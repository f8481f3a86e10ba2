// Help texts of the commands.

/** Commands of the program. */
export const commandNames = ['proxy', 'check', 'apply', 'evacuate', 'status', 'keys'] as const

/** Name of a command. */
export type CommandName = typeof commandNames[number]

/** Help text of the program. */
export const programHelp = `usage: limpetmoor COMMAND [OPTIONS]

  proxy    run the proxy of this host
  check    check settings or a manifest; needs no platform
  apply    bring a manifest into force
  evacuate set or end the evacuation of a failure domain
  status   show what the hosts report
  keys     generate a key, or compute the digest of a key

limpetmoor COMMAND --help shows the help of a command; --version shows the version.
Exit codes: 0 done, 1 failed, 2 wrong usage or invalid input.`

/**
 * Returns the help text of a command.
 * @param command - name of the command
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
  --expect GENERATION    reject if another generation is in force; 0: none
  --by NAME              operator's name, shown to others who apply concurrently`
    case 'evacuate': return `usage: limpetmoor evacuate DOMAIN --platform URL [--end] [--by NAME]

Requests that nothing new be sent to the servers of a failure domain, until the
evacuation is ended. Running the command again changes nothing.

  --platform URL   base URL of the platform
  --end            end the evacuation
  --by NAME        operator's name, shown by status`
    case 'status': return `usage: limpetmoor status --platform URL [--json]

Shows the accepted generation, the hosts that do not use it, evacuated failure
domains, and the hosts' reports on each database and client account.

  --platform URL   base URL of the platform
  --json           print the status as JSON`
    case 'keys': return `usage: limpetmoor keys new
       limpetmoor keys digest

new      prints a new key and its digest
digest   reads a key from standard input and prints its digest`
  }
}
