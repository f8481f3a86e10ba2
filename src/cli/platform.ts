// Platform access for commands.

import { StoreError } from '../ports/index.js'
import { platformClient, type PlatformClient } from '../wire/index.js'
import { failed, invalid, type CommandResult } from './result.js'

/** Timeout of a call to the platform. */
export const callTimeoutMs = 2_000

/**
 * Runs a command with a client of the platform, and closes the client afterwards.
 * @param url - base URL of the platform, from the command line
 * @param use - the command
 * @returns the command's result; a platform failure becomes a failed result
 */
export async function withPlatformClient (url: string, use: (client: PlatformClient) => Promise<CommandResult>): Promise<CommandResult> {
  if (!URL.canParse(url) || !/^https?:/.test(url)) return invalid(`--platform: found ${JSON.stringify(url)}, allowed: an http or https URL`)
  const client = platformClient({ url, callTimeoutMs })
  try {
    return await use(client)
  } catch (error) {
    if (error instanceof StoreError) return failed(error.message)
    throw error
  } finally {
    client.close()
  }
}
