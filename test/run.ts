// Runs the test files and sets the exit status. Failures of tests listed in
// KNOWN-RED.txt are printed and passed over; any other failure fails the run.
// Arguments select the files whose name contains one of them. Files in `crowd/` put
// load on the machine, so they run one at a time after all others.

import { readdirSync, readFileSync } from 'node:fs'
import { once } from 'node:events'
import { dirname, join, sep } from 'node:path'
import { fileURLToPath } from 'node:url'
import { run } from 'node:test'
import { spec } from 'node:test/reporters'
import { knownRedTests, classifyFailures } from './support/known-red.js'

const here = dirname(fileURLToPath(import.meta.url))
const root = join(here, '..', '..')
/** Time limit of one test file, so that a file that hangs fails the run. */
const fileTimeoutMs = 600_000
/** Number of files that run at once; integration tests start many processes each. */
const concurrency = 3

const selected = process.argv.slice(2)
const files = readdirSync(here, { recursive: true, encoding: 'utf8' })
  .filter(name => name.endsWith('.test.js'))
  .filter(name => selected.length === 0 || selected.some(part => name.includes(part)))
  .sort()

const isCrowdFile = (name: string): boolean => name.startsWith(`crowd${sep}`)
const failed = new Set<string>()
const counts = { passed: 0 }

async function runFiles (names: readonly string[], concurrency: number): Promise<void> {
  if (names.length === 0) return
  const stream = run({ files: names.map(name => join(here, name)), concurrency, timeout: fileTimeoutMs })
  stream.on('test:pass', event => {
    if (event.details.type !== 'suite' && !event.name.endsWith('.test.js')) counts.passed += 1
  })
  stream.on('test:fail', event => {
    // Node reports a file with failed tests as one more failed test.
    const isFile = event.name.endsWith('.test.js')
    const cause = event.details.error.cause
    const isParent = isFile && String(cause).includes('test failed')
    if (event.details.type !== 'suite' && !isParent) failed.add(event.name)
  })
  const ended = once(stream, 'end')
  stream.compose(new spec()).pipe(process.stdout, { end: false })
  await ended
}

await runFiles(files.filter(name => !isCrowdFile(name)), concurrency)
await runFiles(files.filter(isCrowdFile), 1)
const result = classifyFailures([...failed], knownRedTests(readFileSync(join(root, 'KNOWN-RED.txt'), 'utf8')))
for (const name of result.passedOver) console.log(`known red, passed over: ${name}`)
for (const name of result.unexpected) console.log(`FAILED: ${name}`)
console.log(`${counts.passed} passed, ${result.unexpected.length} failed`)
process.exitCode = result.unexpected.length === 0 && counts.passed > 0 ? 0 : 1
