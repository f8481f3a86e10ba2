// Certificates for tests of TLS.

import { generate } from 'selfsigned'

const keyBits = 2048

/** A key and its certificate as PEM texts. */
export type Certificate = { readonly certPem: string, readonly keyPem: string }

/** Makes a certificate that is its own authority, so all hosts of a test can share and trust it. */
export async function sharedCertificate (): Promise<Certificate> {
  const pems = await generate([{ name: 'commonName', value: 'limpetmoor' }], { keySize: keyBits })
  return { certPem: pems.cert, keyPem: pems.private }
}
