// Bundles the compiled program and its libraries into one file, because loading
// several hundred modules one by one takes most of the processor time of a start,
// and compiles it ahead: a process that starts with the code cache compiles none
// of its functions again. The cache holds for one build of the runtime and one set
// of flags, so it is made by the runtime that runs the program, with the flags of
// the deploy file; any other runtime ignores it and compiles as usual.

import { build } from 'esbuild'
import { execFileSync } from 'node:child_process'
import { copyFileSync, readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { parse } from 'smol-toml'

const [program = 'target/platform/main.js', folder = 'target/bundle'] = process.argv.slice(2)
const here = dirname(fileURLToPath(import.meta.url))

await build({
  entryPoints: { proxy: program },
  outdir: folder,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'error'
})
copyFileSync(join(here, 'main.cjs'), join(folder, 'main.cjs'))
execFileSync(process.execPath, [...runtimeFlags(), join(here, 'compile.cjs'), join(folder, 'proxy.cjs')], { stdio: 'inherit' })

function runtimeFlags () {
  const { roles } = parse(readFileSync(join(here, 'system.toml'), 'utf8'))
  return roles.proxy.run.split(' ').filter(word => word.startsWith('--'))
}
