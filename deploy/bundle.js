// Joins the compiled program and its libraries into a few files: reading some
// hundred modules one by one takes most of the processor time of a start. What
// is imported later stays in files of its own.

import { build } from 'esbuild'

const [program = 'target/platform/main.js', folder = 'target/bundle'] = process.argv.slice(2)

await build({
  entryPoints: [program],
  outdir: folder,
  bundle: true,
  splitting: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'error',
  // Libraries in the older module format ask for their parts by this name.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
})
