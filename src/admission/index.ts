// Admission at the dispatcher: decides which host takes the token of a statement.

export * from './token.js'
export * from './peer-support.js'
