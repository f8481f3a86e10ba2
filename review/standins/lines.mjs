// Framing of the line protocol. PROTOCOL.md: "A line consists of the word followed
// by the fields, separated by blanks and terminated by CR LF. The last field extends
// to the end of the line."

export function readMessages (socket, onMessage) {
  let incomplete = ''
  socket.setEncoding('latin1')
  socket.on('data', text => {
    const lines = (incomplete + text).split('\r\n')
    incomplete = lines.pop()
    for (const line of lines) {
      const space = line.indexOf(' ')
      onMessage(space < 0 ? { word: line, rest: '' } : { word: line.slice(0, space), rest: line.slice(space + 1) })
    }
  })
}
